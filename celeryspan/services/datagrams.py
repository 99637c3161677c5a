"""The kernel service ``datagrams``: small authenticated messages over UDP."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Callable, Iterable

from celeryspan import errors, events, ids, kernel, logthrottle
from celeryspan.services import identity, traffic
from celeryspan.wire import codec, messages, proofs

READ_BYTES = 65_536
"""Receive buffer, larger than the largest UDP datagram."""

RECEIVE_TIMEOUT_SECONDS = 0.5
"""Receive timeout, and so the longest time that stopping waits for the thread."""

Handler = Callable[[messages.Frame, ids.Address], None]


@kernel.register("datagrams", needs=("identity",))
class DatagramsService:
    """Sends and receives frames in datagrams, each prefixed with a keyed hash."""

    def __init__(self, container: kernel.Kernel) -> None:
        self._identity: identity.IdentityService = container.find("identity")
        self._keys = container.settings.fleet_keys
        self._address = ids.Address.parse(container.settings.peer_address)
        self._traffic = traffic.Traffic()
        self._throttle = logthrottle.Throttle()
        self._handlers: list[Handler] = []
        self._sequence = 0
        self._stopped = threading.Event()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.settimeout(RECEIVE_TIMEOUT_SECONDS)
        self._thread = threading.Thread(
            target=self._receive, name="datagrams", daemon=True
        )

    def start(self) -> None:
        """Bind the UDP socket to the peer address and start receiving."""
        self._socket.bind(self._address)
        self._thread.start()

    def stop(self) -> None:
        """Stop receiving and close the socket."""
        self._stopped.set()
        if self._thread.is_alive():
            self._thread.join()
        self._socket.close()

    def subscribe(self, handler: Handler) -> None:
        """Call a handler with each frame and its source address."""
        self._handlers.append(handler)

    def send(self, address: ids.Address, batch: Iterable[messages.Message]) -> None:
        """Send messages in one datagram; it can be lost without an error."""
        self._sequence += 1
        own = (self._identity.router, self._identity.incarnation)
        frame = messages.Frame(*own, self._sequence, tuple(batch))
        datagram = proofs.sign_datagram(self._keys[0], codec.encode(frame))
        try:
            self._socket.sendto(datagram, address)
        except OSError:
            return  # The peer is unreachable: equivalent to a lost datagram.
        self._traffic.count("sent", frame.messages, len(datagram))

    def report(self) -> dict[str, object]:
        """Return the refused datagrams, and messages and bytes by kind."""
        return self._traffic.report()

    def _receive(self) -> None:
        while not self._stopped.is_set():
            try:
                datagram, source = self._socket.recvfrom(READ_BYTES)
            except TimeoutError:
                continue
            except OSError:
                continue  # ICMP reported a closed peer port; the socket still works.
            self._handle(datagram, ids.Address(*source))

    def _handle(self, datagram: bytes, source: ids.Address) -> None:
        """Verify a datagram and call the handlers; errors are logged, not raised."""
        try:
            frame = codec.decode(proofs.verify_datagram(self._keys, datagram))
        except errors.LinkError as error:
            self._record_refusal(source, str(error))
            return
        self._traffic.count("received", frame.messages, len(datagram))
        for handler in self._handlers:
            try:
                handler(frame, source)
            except Exception as error:
                events.log(
                    events.Event.TASK_FAILED,
                    task="datagram handler",
                    peer=frame.sender,
                    error=repr(error),
                )

    def _record_refusal(self, source: ids.Address, error: str) -> None:
        """Count a refused datagram; anybody can send thousands a second."""
        self._traffic.count_refused_peer()
        count = self._throttle.admit(error, time.monotonic())
        if count:
            events.log(
                events.Event.LINK_REFUSED, peer=str(source), error=error, count=count
            )
