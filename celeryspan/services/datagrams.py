"""The kernel service ``datagrams``: small authenticated messages over UDP."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable, Iterable

from celeryspan import errors, events, ids, kernel
from celeryspan.services import identity, traffic
from celeryspan.wire import codec, messages, proofs

READ_BYTES = 65_536
WAIT_SECONDS = 0.5
"""How long the end of the service may wait for its task."""

Handler = Callable[[messages.Frame, ids.Address], None]


@kernel.register("datagrams", needs=("identity",))
class DatagramsService:
    """Sends frames in datagrams, each with a keyed hash before it."""

    def __init__(self, box: kernel.Kernel) -> None:
        self._identity: identity.IdentityService = box.find("identity")
        self._keys = box.settings.fleet_keys
        self._address = ids.Address.parse(box.settings.peer_address)
        self._traffic = traffic.Traffic()
        self._handlers: list[Handler] = []
        self._sequence = 0
        self._stopped = threading.Event()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.settimeout(WAIT_SECONDS)
        self._thread = threading.Thread(
            target=self._receive, name="datagrams", daemon=True
        )

    def start(self) -> None:
        """Bind to the number of the peer port and begin to receive."""
        self._socket.bind(self._address)
        self._thread.start()

    def stop(self) -> None:
        """Stop receiving."""
        self._stopped.set()
        if self._thread.is_alive():
            self._thread.join()
        self._socket.close()

    def subscribe(self, handler: Handler) -> None:
        """Call a handler with each frame and where it came from."""
        self._handlers.append(handler)

    def send(self, address: ids.Address, batch: Iterable[messages.Message]) -> None:
        """Send messages in one datagram; it may be lost, also without an error."""
        self._sequence += 1
        own = (self._identity.router, self._identity.incarnation)
        frame = messages.Frame(*own, self._sequence, tuple(batch))
        datagram = proofs.seal(self._keys[0], codec.encode(frame))
        try:
            self._socket.sendto(datagram, address)
        except OSError:
            return  # No way to the peer now: the same as a datagram lost on its way.
        self._traffic.count("sent", frame.messages, len(datagram))

    def report(self) -> dict[str, object]:
        """Return refused datagrams, and messages and bytes by kind."""
        return self._traffic.report()

    def _receive(self) -> None:
        while not self._stopped.is_set():
            try:
                datagram, source = self._socket.recvfrom(READ_BYTES)
            except TimeoutError:
                continue
            except OSError:
                continue  # A peer's port was closed; the next datagram may be well.
            self._take(datagram, ids.Address(*source))

    def _take(self, datagram: bytes, source: ids.Address) -> None:
        """Hand a datagram on; whatever is wrong with it ends here."""
        try:
            frame = codec.decode(proofs.unseal(self._keys, datagram))
        except errors.LinkError as error:
            self._traffic.count_refused_peer()
            events.log(events.Event.LINK_REFUSED, peer=str(source), error=str(error))
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
