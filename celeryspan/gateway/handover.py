"""The kernel service ``handover``: relays requests that peers serve for this router.

One thread moves the bytes of all such requests without parsing them. Each request has a
connection of its own to the peer, which closes it after the answer. The end of the
answer is thus known, and nothing has to be agreed when either router stops.

Headers tell the peer which configuration this router has in force. A peer with another
one refuses the request, so that callers see configurations in order.

If a peer dies before it has begun to answer, its callers are told that the outcome of
their requests is unknown. A peer that is silent until the caller's deadline is treated
the same way.
"""

from __future__ import annotations

import collections
import contextlib
import queue
import random
import select
import socket
import threading
import time
from typing import TYPE_CHECKING

from celeryspan import answerreaders, errors, events, ids, kernel, metrics
from celeryspan.decisions import handover, relaypace
from celeryspan.gateway import channels, relayedrequest
from celeryspan.services import callerconnections, httpserver
from celeryspan.wire import messages

if TYPE_CHECKING:
    from celeryspan.gateway import catalogues, quickrefusals
    from celeryspan.services import arrivals, membership

CONNECT_SECONDS = 0.3
"""Time for a peer to accept a connection; one that is up takes some milliseconds."""

CHECK_INTERVAL_SECONDS = 0.1

BATCH_SECONDS = 0.01
"""Pause after each round, so that one wake-up serves many requests."""


READ_BYTES = 16_384
"""Bytes of an answer that are read at once; up to twice as many wait for a caller."""

UNSENT_BYTES_MAX = 8_000_000
"""Bytes of requests that wait for peers to take them; beyond it none is handed over."""

READ, WRITE = select.EPOLLIN, select.EPOLLOUT

HEAD_END = b"\r\n\r\n"

CALLERS_SHARE = 0.5
"""Share of the connections of callers whose requests may be handed over at once."""

LIMIT_LOG_SECONDS = 1.0
"""Interval at which a router logs that it may hand over no more requests."""

CALLER_TIMEOUT_SECONDS = httpserver.CALLER_TIMEOUT_SECONDS
"""Time without progress after which a caller that reads nothing is given up."""

DEADLINE_SECONDS_DEFAULT = 30.0
"""Longest time for an answer if the caller states none."""

UNREACHABLE_RETRY_AFTER_SECONDS = 0.1


@kernel.register("handover", needs=("catalogues", "membership", "metrics"))
class Handover:
    """Hands requests over to peers and relays their answers."""

    def __init__(self, container: kernel.Kernel) -> None:
        self._catalogues: catalogues.CataloguesService = container.find("catalogues")
        self._metrics: metrics.Metrics = container.find("metrics")
        self._membership: membership.MembershipService = container.find("membership")
        budget = callerconnections.compute_budget(container.settings.descriptors_max)
        self._relays_max = int(budget.callers * CALLERS_SHARE)
        self._random = random.Random(f"{container.settings.router} {time.time_ns()}")
        self._used: collections.Counter[ids.RouterId] = collections.Counter()
        self._peers: list[messages.Member] = []
        self._current = self._total = self._unsent_bytes = 0
        self._lock = threading.Lock()
        self._added: queue.SimpleQueue[relayedrequest.RelayedRequest] = (
            queue.SimpleQueue()
        )
        self._relays: dict[relayedrequest.RelayedRequest, None] = {}
        self._next_check_at = 0.0
        self._is_limited = False
        self._limit_logged_at = float("-inf")
        self._poll = select.epoll()
        self._streams_poll = select.epoll()
        self._relay_pace = relaypace.RelayPace()
        # Relays by the descriptors of their connections to callers and to peers.
        self._by_caller: dict[int, relayedrequest.RelayedRequest] = {}
        self._by_peer: dict[int, relayedrequest.RelayedRequest] = {}
        self._wake_reader, self._wake_writer = socket.socketpair()
        self._is_waiting = False
        self._stopped = False
        self._thread = threading.Thread(target=self._run, name="handover", daemon=True)

    def start(self) -> None:
        """Subscribe to the membership and start the relaying thread."""
        self._wake_reader.setblocking(False)
        self._wake_writer.setblocking(False)
        self._poll.register(self._wake_reader, READ)
        self._membership.subscribe(self._set_peers)
        self._set_peers(self._membership.alive())
        self._thread.start()

    def stop(self) -> None:
        """Stop relaying; requests that are still relayed are cut off."""
        self._stopped = True
        self._wake()
        self._thread.join()
        self._poll.close()
        self._streams_poll.close()

    def report(self) -> dict[str, object]:
        """Return the numbers of requests handed over in total and at present."""
        with self._lock:
            return {"total": self._total, "current": dict(+self._used)}

    def count(self) -> int:
        """Return the number of requests that peers serve for this router."""
        return self._current

    def is_full(self) -> bool:
        """Return whether no more requests may be handed over at present."""
        return (
            self._current >= self._relays_max
            or self._unsent_bytes > UNSENT_BYTES_MAX
            or self._relay_pace.is_full
        )

    def choose_peer(self) -> messages.Member | None:
        """Return the peer that can take one more request, or None."""
        if self._catalogues.current() is None:
            return None
        if self.is_full():
            self._is_limited = True
            return None
        return handover.choose_peer(self._peers, self._used, self._random)

    def hand_over(
        self,
        arrival: arrivals.Arrival,
        found: quickrefusals.BufferedRequest,
        peer: messages.Member,
        answer: relayedrequest.Answer,
    ) -> None:
        """Hand a complete request over and close its connection after the answer.

        Parameters
        ----------
        answer : callable
            Called with the arrival and an error if the peer does not answer.
        """
        events.log(
            events.Event.REQUEST_HANDED_OVER,
            request=found.request.decode("latin-1"),
            peer=peer.router,
        )
        try:
            sock = _connect(peer.caller_address)
        except OSError as error:  # No descriptor is left.
            answer(arrival, _make_unreachable_error(peer.router, error))
            arrival.close()
            return
        data = relayedrequest.add_position(
            found.data, self._catalogues.current().position
        )
        with self._lock:
            self._used[peer.router] += 1
            self._current += 1
            self._total += 1
            self._unsent_bytes += len(data)
        self._metrics.count_handover()
        seconds = found.seconds or DEADLINE_SECONDS_DEFAULT
        self._added.put(
            relayedrequest.RelayedRequest(
                arrival, peer.router, sock, data, seconds, answer
            )
        )
        if self._is_waiting:
            self._wake()

    def _set_peers(self, members: list[messages.Member]) -> None:
        self._peers = handover.list_peers(members, self._membership.own())

    def _wake(self) -> None:
        with contextlib.suppress(BlockingIOError):
            self._wake_writer.send(b"\0")

    def _run(self) -> None:
        while not self._stopped:
            self._is_waiting = True
            ready = self._poll.poll(self._choose_timeout())
            self._is_waiting = False
            for descriptor, mask in ready:
                self._handle_event(descriptor, mask)
            self._relay_streams()
            now = time.monotonic()
            self._expire(now)
            self._log_limit(now)
            # After the check, so that a request that has waited long for this thread is
            # not given up before the state of its connection is known.
            self._register_added()
            time.sleep(BATCH_SECONDS)

    def _relay_streams(self) -> None:
        """Relay what has arrived of answers that have begun, if it is time."""
        began = time.monotonic()
        if began < self._relay_pace.next_at:
            return
        for descriptor, mask in self._streams_poll.poll(0):
            self._handle_event(descriptor, mask)
        self._relay_pace.record(began, time.monotonic())

    def _choose_timeout(self) -> float | None:
        """Return how long to wait for an event, in seconds."""
        if not self._added.empty():
            return 0.0
        if not self._relays:
            return None
        left = self._relay_pace.next_at - time.monotonic()
        return min(max(left, 0.0), CHECK_INTERVAL_SECONDS)

    def _handle_event(self, descriptor: int, mask: int) -> None:
        if (relay := self._by_peer.get(descriptor)) is not None:
            self._advance_safely(relay, relay.socket, mask)
        elif (relay := self._by_caller.get(descriptor)) is not None:
            self._advance_safely(relay, relay.caller, mask)
        elif descriptor == self._wake_reader.fileno():
            self._wake_reader.recv(READ_BYTES)

    def _advance_safely(
        self, relay: relayedrequest.RelayedRequest, ready: object, mask: int
    ) -> None:
        """Advance one request; an error ends this request and no other."""
        try:
            self._advance(relay, ready, mask)
        except BlockingIOError:
            pass  # Not ready after all.
        except OSError as error:
            self._handle_failure(relay, ready, error)
        except Exception as error:
            events.log(events.Event.TASK_FAILED, task="handover", error=repr(error))
            self._close(relay)

    def _register_added(self) -> None:
        while True:
            try:
                relay = self._added.get_nowait()
            except queue.Empty:
                return
            self._relays[relay] = None
            relay.caller.setblocking(False)
            self._by_peer[relay.socket.fileno()] = relay
            self._by_caller[relay.caller.fileno()] = relay
            relay.poll = self._poll
            self._poll.register(relay.socket, WRITE)
            self._poll.register(relay.caller, READ)

    def _expire(self, now: float) -> None:
        """End requests whose peer accepts no connection or does not answer in time."""
        if now < self._next_check_at:
            return
        self._next_check_at = now + CHECK_INTERVAL_SECONDS
        for relay in list(self._relays):
            if not relay.is_connected and now - relay.started_at > CONNECT_SECONDS:
                self._end_unsent(relay)
            elif now > relay.expires_at:
                self._end_unanswered(relay, 504, "no answer in time")
            elif relay.undelivered and now - relay.taken_at > CALLER_TIMEOUT_SECONDS:
                self._close(relay)

    def _log_limit(self, now: float) -> None:
        """Log what the requests at peers wait for while no more may be handed over."""
        if not self._is_limited or now - self._limit_logged_at < LIMIT_LOG_SECONDS:
            return
        self._is_limited, self._limit_logged_at = False, now
        phases = collections.Counter(relay.phase.value for relay in self._relays)
        oldest = min((relay.started_at for relay in self._relays), default=now)
        events.log(
            events.Event.HANDOVER_LIMIT_REACHED,
            current=self.count(),
            phases=dict(phases),
            oldest=round(now - oldest, 3),
            round_seconds=round(self._relay_pace.seconds, 3),
        )

    def _handle_failure(
        self, relay: relayedrequest.RelayedRequest, failed: object, error: OSError
    ) -> None:
        """End a request whose connection to its peer or its caller has failed."""
        if failed is relay.caller:
            self._close(relay)
        else:
            self._end_unanswered(relay, 502, repr(error))

    def _advance(
        self, relay: relayedrequest.RelayedRequest, ready: object, mask: int
    ) -> None:
        """Move bytes of one request in the direction that has become ready."""
        if relay.socket.fileno() < 0:
            return  # Closed earlier in this round.
        if ready is relay.socket:
            if relay.unsent:
                self._send_request(relay)
            else:
                self._receive_answer(relay)
                self._pace(relay)
        elif mask & WRITE and relay.undelivered:
            self._deliver(relay, b"")
        elif not relay.caller.recv(READ_BYTES):
            self._close(relay)  # The caller has left; the peer sees it as its own.

    def _send_request(self, relay: relayedrequest.RelayedRequest) -> None:
        if not relay.is_connected:
            if relay.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                self._end_unsent(relay)
                return
            relay.is_connected = True
            if _has_left(relay.caller):
                self._close(relay)
                return
        sent = relay.socket.send(relay.unsent)
        relay.unsent = relay.unsent[sent:]
        with self._lock:
            self._unsent_bytes -= sent
        if not relay.unsent:
            self._poll.modify(relay.socket, READ)

    def _receive_answer(self, relay: relayedrequest.RelayedRequest) -> None:
        data = relay.socket.recv(READ_BYTES)
        relay.is_ended = not data
        if relay.is_ended and not relay.is_begun:
            self._end_unanswered(relay, 502, "the peer closed the connection")
            return
        if not relay.is_begun:
            # Callers take half a head for an answer without a body.
            relay.partial_head += data
            if HEAD_END not in relay.partial_head:
                if len(relay.partial_head) > answerreaders.HEAD_BYTES_MAX:
                    self._end_unanswered(relay, 502, "the head of its answer is long")
                return
            data, relay.partial_head = relay.partial_head, b""
        # The end mostly arrives with the last data. If it were read in the next round,
        # the caller's next request would be counted beside this one.
        with contextlib.suppress(OSError):
            rest = relay.socket.recv(READ_BYTES)
            relay.is_ended = not rest
            data += rest
        relay.is_begun = True
        try:
            self._deliver(relay, data)
        except OSError:
            self._close(relay)  # The caller has left.

    def _pace(self, relay: relayedrequest.RelayedRequest) -> None:
        """Relay the rest of an answer that has begun in rounds, see ``relaypace``."""
        if relay.is_begun and relay.poll is self._poll and relay.socket.fileno() >= 0:
            if not relay.undelivered:
                self._poll.unregister(relay.socket)
                self._streams_poll.register(relay.socket, READ)
            relay.poll = self._streams_poll

    def _deliver(self, relay: relayedrequest.RelayedRequest, data: bytes) -> None:
        """Send a part of the answer; wait with the next one until the caller takes it.

        A write that the caller's system does not take at once stops reading from the
        peer, which sees a slow caller and applies its own time limits.
        """
        had_rest = bool(relay.undelivered)
        pending = relay.undelivered + data
        if pending:
            sent = 0
            with contextlib.suppress(BlockingIOError):
                sent = relay.caller.send(pending)
            if sent or not had_rest:
                relay.taken_at = time.monotonic()
            pending = pending[sent:]
        relay.undelivered = pending
        if pending and not had_rest:
            self._poll.modify(relay.caller, WRITE)
            relay.poll.unregister(relay.socket)
        elif had_rest and not pending:
            self._poll.modify(relay.caller, READ)
            if not relay.is_ended:
                relay.poll.register(relay.socket, READ)
        if relay.is_ended and not pending:
            self._close(relay)

    def _end_unsent(self, relay: relayedrequest.RelayedRequest) -> None:
        """Refuse a request of which the peer has received nothing."""
        refusal = _make_unreachable_error(relay.peer, "no connection")
        self._end(relay, refusal)

    def _end_unanswered(
        self, relay: relayedrequest.RelayedRequest, status: int, reason: str
    ) -> None:
        """End a request that the peer has received and not answered in full."""
        unknown = errors.OutcomeUnknown(
            f"the router that served the request did not answer: {reason}",
            code="answer-lost",
            status=status,
            step="hand over",
            peer=relay.peer,
        )
        self._end(relay, unknown)

    def _end(
        self, relay: relayedrequest.RelayedRequest, error: errors.RequestError
    ) -> None:
        """Close a connection, with an error if no part of an answer was sent."""
        self._release(relay)
        if not relay.is_begun:
            relay.answer(relay.arrival, error)
        relay.arrival.close()

    def _close(self, relay: relayedrequest.RelayedRequest) -> None:
        self._release(relay)
        relay.arrival.close()

    def _release(self, relay: relayedrequest.RelayedRequest) -> None:
        """Close the connection to the peer."""
        self._relays.pop(relay, None)
        # Closing a connection also ends its registration for events.
        self._by_caller.pop(relay.caller.fileno(), None)
        self._by_peer.pop(relay.socket.fileno(), None)
        relay.socket.close()
        with self._lock:
            self._used[relay.peer] -= 1
            self._current -= 1
            self._unsent_bytes -= len(relay.unsent)


def _connect(address: ids.Address) -> socket.socket:
    """Return a socket that is being connected; raises OSError without descriptors."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    for option in channels.SOCKET_OPTIONS:
        sock.setsockopt(*option)
    sock.connect_ex(tuple(address))  # Its result is read when it is known.
    return sock


def _has_left(caller: socket.socket) -> bool:
    """Return whether a caller has closed its connection."""
    try:
        return not caller.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True


def _make_unreachable_error(peer: ids.RouterId, reason: object) -> errors.NotRun:
    return errors.NotRun(
        f"the router that was to serve the request can't be reached: {reason}",
        code="peer-unreachable",
        status=503,
        retry_after=UNREACHABLE_RETRY_AFTER_SECONDS,
        step="hand over",
        peer=peer,
    )
