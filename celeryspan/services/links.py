"""The kernel service ``links``: messages to and from other routers over TCP."""

from __future__ import annotations

import collections
import random
import socket
import threading
import time
from collections.abc import Callable

from celeryspan import errors, events, ids, kernel
from celeryspan.decisions import circuitbreaker
from celeryspan.services import connections, identity, traffic
from celeryspan.wire import messages, outbox

Handler = Callable[[ids.RouterId, ids.Incarnation, messages.Message], None]

UNPROVEN_MAX = 64
"""Connections that may be proving themselves at once; a stranger who opens more is
closed at once and can't use up the threads."""

BACKLOG = 256

WORKED_SECONDS = 1.0
"""A link that ended sooner counts as a failed attempt."""

FORGET_SECONDS = 60.0
"""An outbox without link is given up after this long, with what it holds."""


class Peer:
    """The outbox of one peer and the connection that empties it, if there is one."""

    def __init__(self) -> None:
        self.outbox = outbox.Outbox()
        self.connection: connections.Connection | None = None
        self.opening = False
        self.failures = 0


@kernel.register("links", needs=("identity",))
class LinksService:
    """Sends messages to peers; opens a link at the first and closes it when idle."""

    def __init__(self, box: kernel.Kernel) -> None:
        self._identity: identity.IdentityService = box.find("identity")
        self._keys = box.settings.fleet_keys
        self._address = ids.Address.parse(box.settings.peer_address)
        self._generator = random.Random(self._identity.incarnation)
        self._traffic = traffic.Traffic()
        self._lock = threading.Lock()
        self._peers: dict[ids.RouterId, Peer] = {}
        self._addresses: dict[ids.RouterId, ids.Address] = {}
        self._handlers: dict[type, list[Handler]] = collections.defaultdict(list)
        self._unproven = threading.Semaphore(UNPROVEN_MAX)
        self._stopped = threading.Event()
        self._listener: socket.socket | None = None

    def start(self) -> None:
        """Listen on the peer address."""
        self._listener = socket.create_server(self._address, backlog=BACKLOG)
        self._acceptor = self._run_task("links-accept", self._accept, self._listener)

    def stop(self) -> None:
        """Close all links; what waits is given up.

        Closing a listener does not wake a thread that waits in ``accept``, which
        keeps the port in use, so that a router started right after fails to bind;
        the shutdown wakes it.
        """
        self._stopped.set()
        if self._listener is not None:
            self._listener.shutdown(socket.SHUT_RDWR)
            self._acceptor.join()
            self._listener.close()
        with self._lock:
            for peer in self._peers.values():
                if peer.connection is not None:
                    peer.connection.close()

    def learn(self, peer: ids.RouterId, address: ids.Address) -> None:
        """Note where a peer listens; membership calls this."""
        with self._lock:
            self._addresses[peer] = address

    def forget(self, peer: ids.RouterId) -> None:
        """Give up the link to a router that is dead."""
        with self._lock:
            self._addresses.pop(peer, None)
            found = self._peers.get(peer)
            if found is not None and found.connection is not None:
                found.connection.close()

    def subscribe(self, kind: type, handler: Handler) -> None:
        """Call a handler with each message of a kind, in the task of its link."""
        self._handlers[kind].append(handler)

    def send(
        self, peer: ids.RouterId, message: messages.Message, *, is_urgent: bool = False
    ) -> None:
        """Put a message into the outbox of a peer; never waits for the peer.

        Parameters
        ----------
        is_urgent : bool
            Send it from here rather than let it wait for others in the link's task.

        Raises
        ------
        ValueError
            If the peer is this router itself.
        """
        if peer == self._identity.router:
            raise ValueError("a router has no link to itself")
        with self._lock:
            found = self._peers.setdefault(peer, Peer())
            found.outbox.put(message, time.monotonic())
            connection = found.connection
            opens = connection is None and not found.opening
            found.opening = found.opening or opens
        if connection is not None and is_urgent:
            connection.flush(found.outbox, self._lock, self._traffic)
        elif connection is not None:
            connection.wake()
        elif opens:
            self._run_task(f"link-{peer}", self._open, peer)

    def report(self) -> dict[str, object]:
        """Return links, refused peers, and messages and bytes by kind."""
        with self._lock:
            linked = sorted(
                name for name, peer in self._peers.items() if peer.connection
            )
            dropped = sum(peer.outbox.dropped for peer in self._peers.values())
        return {"links": linked, "dropped": dropped, **self._traffic.report()}

    def _run_task(
        self, name: str, task: Callable, *arguments: object
    ) -> threading.Thread:
        thread = threading.Thread(target=task, args=arguments, name=name, daemon=True)
        thread.start()
        return thread

    def _own(self) -> tuple[ids.RouterId, ids.Incarnation]:
        return self._identity.router, self._identity.incarnation

    def _accept(self, listener: socket.socket) -> None:
        while not self._stopped.is_set():
            try:
                channel, address = listener.accept()
            except OSError:
                if not self._stopped.is_set():
                    time.sleep(0.1)  # Out of file descriptors: others will close.
                continue
            if not self._unproven.acquire(blocking=False):
                channel.close()
                continue
            self._run_task(f"link-from-{address[0]}", self._answer, channel, address)

    def _answer(self, channel: socket.socket, address: tuple[str, int]) -> None:
        channel.settimeout(connections.PROOF_SECONDS)
        connection = connections.Connection(channel, self._own())
        try:
            connection.prove_accept(self._keys)
        except (errors.LinkError, OSError) as error:
            self._refuse(f"{address[0]}:{address[1]}", error)
            connection.release()
            return
        finally:
            self._unproven.release()
        self._drive(connection)

    def _open(self, name: ids.RouterId) -> None:
        """Keep a link to a peer for as long as messages wait for it."""
        peer = self._peers[name]
        give_up = time.monotonic() + FORGET_SECONDS
        while not self._stopped.is_set() and time.monotonic() < give_up:
            if self._run_once(name):
                peer.failures = 0
                give_up = time.monotonic() + FORGET_SECONDS
            else:
                peer.failures += 1
                delay = circuitbreaker.draw_delay(peer.failures, self._generator)
                self._stopped.wait(delay)
            with self._lock:
                if peer.connection is not None or not peer.outbox:
                    peer.opening = False
                    return
        with self._lock:
            self._peers.pop(name, None)

    def _run_once(self, name: ids.RouterId) -> bool:
        """Connect and run the link; returns whether it worked for a while.

        A peer that refuses this side's proof closes after the handshake. Were that a
        success, this side would connect again at once, thousands of times a second.
        """
        connection = self._connect(name)
        if connection is None:
            return False
        began = time.monotonic()
        self._drive(connection)
        return time.monotonic() - began > WORKED_SECONDS

    def _connect(self, name: ids.RouterId) -> connections.Connection | None:
        with self._lock:
            address = self._addresses.get(name)
        if address is None:
            return None
        try:
            connection = connections.open_connection(address, self._own())
        except OSError:
            return None
        try:
            connection.prove_open(self._keys, name)
        except (errors.LinkError, OSError) as error:
            self._refuse(str(address), error)
            connection.release()
            return None
        return connection

    def _refuse(self, address: str, error: Exception) -> None:
        self._traffic.count_refused_peer()
        events.log(events.Event.LINK_REFUSED, peer=address, error=str(error))

    def _drive(self, connection: connections.Connection) -> None:
        """Run one connection to its end, in this task."""
        name = connection.peer
        with self._lock:
            peer = self._peers.setdefault(name, Peer())
            peer.connection = connection
        events.log(events.Event.LINK_OPENED, peer=name)
        try:
            reason = connection.run(
                peer.outbox, self._lock, self._dispatch, self._traffic
            )
        except errors.LinkError as error:
            self._refuse(name, error)
            reason = str(error)
        except OSError as error:
            reason = str(error)
        with self._lock:
            if peer.connection is connection:
                peer.connection = None
            if reason == "idle":
                peer.outbox.settle()
            else:
                peer.outbox.restore(time.monotonic())
        connection.release()
        events.log(events.Event.LINK_CLOSED, peer=name, reason=reason)
        self._reopen(name)

    def _reopen(self, name: ids.RouterId) -> None:
        """Replace an accepted link that failed while messages wait for its peer."""
        with self._lock:
            peer = self._peers.get(name)
            if peer is None or peer.opening or peer.connection or not peer.outbox:
                return
            peer.opening = True
        self._run_task(f"link-{name}", self._open, name)

    def _dispatch(self, frame: messages.Frame) -> None:
        for message in frame.messages:
            for handler in self._handlers.get(type(message), ()):
                try:
                    handler(frame.sender, frame.incarnation, message)
                except Exception as error:
                    events.log(
                        events.Event.TASK_FAILED,
                        task="link handler",
                        peer=frame.sender,
                        error=repr(error),
                    )
