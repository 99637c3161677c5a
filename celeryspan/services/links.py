"""The kernel service ``links``: messages between routers over TCP connections."""

from __future__ import annotations

import collections
import contextlib
import random
import socket
import threading
import time
from collections.abc import Callable

from celeryspan import errors, events, ids, kernel, logthrottle
from celeryspan.decisions import circuitbreaker
from celeryspan.services import connections, identity, traffic
from celeryspan.wire import messages, outbox

Handler = Callable[[ids.RouterId, ids.Incarnation, messages.Message], None]

INBOUND_HANDSHAKES_MAX = 64
"""Maximum concurrent handshakes of inbound connections. A further connection takes the
place of the one that began first, so that an unauthenticated client can neither exhaust
the threads nor keep peers out."""

LISTEN_BACKLOG = 256

STABLE_LINK_SECONDS = 1.0
"""A link that ended sooner than this counts as a failed attempt."""

OUTBOX_TIMEOUT_SECONDS = 60.0
"""Time without a link after which an outbox is discarded with its messages."""


class Peer:
    """The outbox of one peer and its current connection, if any.

    Attributes
    ----------
    is_maintained : bool
        Whether a thread of this side opens links to the peer.
    """

    def __init__(self) -> None:
        self.outbox = outbox.Outbox()
        self.connection: connections.Connection | None = None
        self.is_maintained = False
        self.failures = 0


@kernel.register("links", needs=("identity",))
class LinksService:
    """Sends messages to peers over links that open on demand and close when idle."""

    def __init__(self, container: kernel.Kernel) -> None:
        self._identity: identity.IdentityService = container.find("identity")
        self._keys = container.settings.fleet_keys
        self._address = ids.Address.parse(container.settings.peer_address)
        self._random = random.Random(self._identity.incarnation)
        self._traffic = traffic.Traffic()
        self._lock = threading.Lock()
        self._peers: dict[ids.RouterId, Peer] = {}
        self._addresses: dict[ids.RouterId, ids.Address] = {}
        self._handlers: dict[type, list[Handler]] = collections.defaultdict(list)
        self._handshakes: dict[socket.socket, None] = {}
        self._throttle = logthrottle.Throttle()
        self._stopped = threading.Event()
        self._listener: socket.socket | None = None

    def start(self) -> None:
        """Start listening on the peer address."""
        self._listener = socket.create_server(self._address, backlog=LISTEN_BACKLOG)
        self._acceptor = self._start_thread(
            "links-accept", self._accept, self._listener
        )

    def stop(self) -> None:
        """Close all links and discard the queued messages.

        Closing a listener does not wake a thread that blocks in ``accept``. The port
        would stay in use, and a router started right afterwards would fail to bind;
        the shutdown wakes the thread.
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

    def set_address(self, peer: ids.RouterId, address: ids.Address) -> None:
        """Set the address at which a peer listens for links."""
        with self._lock:
            self._addresses[peer] = address

    def forget(self, peer: ids.RouterId) -> None:
        """Drop the address of a dead router and close its link."""
        with self._lock:
            self._addresses.pop(peer, None)
            found = self._peers.get(peer)
            if found is not None and found.connection is not None:
                found.connection.close()

    def subscribe(self, kind: type, handler: Handler) -> None:
        """Call a handler with each message of a type, in the thread of its link."""
        self._handlers[kind].append(handler)

    def send(
        self, peer: ids.RouterId, message: messages.Message, *, is_urgent: bool = False
    ) -> None:
        """Queue a message for a peer; never blocks on the peer.

        Parameters
        ----------
        is_urgent : bool
            Send it from this thread at once instead of batching it in the link's
            thread.

        Raises
        ------
        ValueError
            If the peer is this router itself.
        """
        if peer == self._identity.router:
            raise ValueError("a router cannot send a message to itself")
        with self._lock:
            found = self._peers.setdefault(peer, Peer())
            found.outbox.put(message, time.monotonic())
            connection = found.connection
            must_open = connection is None and not found.is_maintained
            found.is_maintained = found.is_maintained or must_open
        if connection is not None and is_urgent:
            connection.flush(found.outbox, self._lock, self._traffic)
        elif connection is not None:
            connection.wake()
        elif must_open:
            self._start_thread(f"link-{peer}", self._maintain_link, peer)

    def report(self) -> dict[str, object]:
        """Return the links, dropped messages, refused peers, and traffic by kind."""
        with self._lock:
            linked = sorted(
                name for name, peer in self._peers.items() if peer.connection
            )
            dropped = sum(peer.outbox.dropped for peer in self._peers.values())
        return {"links": linked, "dropped": dropped, **self._traffic.report()}

    def _start_thread(
        self, name: str, task: Callable, *arguments: object
    ) -> threading.Thread:
        thread = threading.Thread(target=task, args=arguments, name=name, daemon=True)
        thread.start()
        return thread

    def _local_identity(self) -> tuple[ids.RouterId, ids.Incarnation]:
        return self._identity.router, self._identity.incarnation

    def _accept(self, listener: socket.socket) -> None:
        while not self._stopped.is_set():
            try:
                channel, address = listener.accept()
            except OSError:
                if not self._stopped.is_set():
                    time.sleep(0.1)  # Out of file descriptors; wait until some close.
                continue
            self._admit_handshake(channel)
            self._start_thread(
                f"link-from-{address[0]}", self._serve_inbound, channel, address
            )

    def _admit_handshake(self, channel: socket.socket) -> None:
        """Record a handshake; ends the one that began first if there are too many."""
        with self._lock:
            self._handshakes[channel] = None
            if len(self._handshakes) <= INBOUND_HANDSHAKES_MAX:
                return
            first = next(iter(self._handshakes))
            del self._handshakes[first]
            # Its thread closes the socket.
            with contextlib.suppress(OSError):
                first.shutdown(socket.SHUT_RDWR)

    def _serve_inbound(self, channel: socket.socket, address: tuple[str, int]) -> None:
        channel.settimeout(connections.HANDSHAKE_TIMEOUT_SECONDS)
        connection = connections.Connection(channel, self._local_identity())
        try:
            connection.handshake_as_acceptor(self._keys)
        except (errors.LinkError, OSError) as error:
            self._record_refusal(f"{address[0]}:{address[1]}", error)
            connection.release()
            return
        finally:
            with self._lock:
                self._handshakes.pop(channel, None)
        self._run_connection(connection)

    def _maintain_link(self, name: ids.RouterId) -> None:
        """Maintain a link to a peer for as long as messages are queued for it."""
        peer = self._peers[name]
        deadline = time.monotonic() + OUTBOX_TIMEOUT_SECONDS
        while not self._stopped.is_set() and time.monotonic() < deadline:
            if self._run_link(name):
                peer.failures = 0
                deadline = time.monotonic() + OUTBOX_TIMEOUT_SECONDS
            else:
                peer.failures += 1
                delay = circuitbreaker.draw_delay(peer.failures, self._random)
                self._stopped.wait(delay)
            with self._lock:
                if peer.connection is not None or not peer.outbox:
                    peer.is_maintained = False
                    return
        with self._lock:
            self._peers.pop(name, None)

    def _run_link(self, name: ids.RouterId) -> bool:
        """Connect and run the link; return whether it lasted long enough to count.

        A peer that refuses this side's proof closes the connection only after the
        handshake. If that counted as a success, this side would reconnect at once,
        thousands of times a second.
        """
        connection = self._connect(name)
        if connection is None:
            return False
        began_at = time.monotonic()
        self._run_connection(connection)
        return time.monotonic() - began_at > STABLE_LINK_SECONDS

    def _connect(self, name: ids.RouterId) -> connections.Connection | None:
        with self._lock:
            address = self._addresses.get(name)
        if address is None:
            return None
        try:
            connection = connections.open_connection(address, self._local_identity())
        except OSError:
            return None
        try:
            connection.handshake_as_initiator(self._keys, name)
        except (errors.LinkError, OSError) as error:
            self._record_refusal(str(address), error)
            connection.release()
            return None
        return connection

    def _record_refusal(self, address: str, error: Exception) -> None:
        self._traffic.count_refused_peer()
        text = str(error)
        count = self._throttle.admit(text, time.monotonic())
        if count:
            events.log(events.Event.LINK_REFUSED, peer=address, error=text, count=count)

    def _run_connection(self, connection: connections.Connection) -> None:
        """Run one connection in this thread until it ends."""
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
            self._record_refusal(name, error)
            reason = str(error)
        except OSError as error:
            reason = str(error)
        with self._lock:
            if peer.connection is connection:
                peer.connection = None
            if reason == "idle":
                peer.outbox.discard_sent()
            else:
                peer.outbox.requeue_sent(time.monotonic())
        connection.release()
        events.log(events.Event.LINK_CLOSED, peer=name, reason=reason)
        self._reopen(name)

    def _reopen(self, name: ids.RouterId) -> None:
        """Replace a failed inbound link if messages are queued for its peer."""
        with self._lock:
            peer = self._peers.get(name)
            if peer is None or peer.is_maintained or peer.connection or not peer.outbox:
                return
            peer.is_maintained = True
        self._start_thread(f"link-{name}", self._maintain_link, name)

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
