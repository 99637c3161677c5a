"""A connection between two routers: framing, handshake, heartbeats and batching."""

from __future__ import annotations

import os
import select
import socket
import struct
import threading
import time
from collections.abc import Callable, Iterator, Sequence

from celeryspan import errors, events, ids, untrusted
from celeryspan.services import traffic
from celeryspan.wire import codec, messages, outbox, proofs

PROTOCOL_VERSION = 1

CONNECT_TIMEOUT_SECONDS = 2.0
"""Connect timeout. A peer in another region answers within 0.3 s, and a lost SYN is
retransmitted after 1 s."""

HANDSHAKE_TIMEOUT_SECONDS = 2.0
"""Maximum duration of the handshake, so that an unauthenticated peer cannot occupy a
thread for long."""

HANDSHAKE_FRAME_BYTES_MAX = 1_024
"""Maximum frame size during the handshake; hello and proof take under 200 bytes."""

BATCH_DELAY_SECONDS = 0.003
"""Time for which a message waits for others to share its frame; far below the 46 ms
between tokens."""

HEARTBEAT_INTERVAL_SECONDS = 1.0
"""A side that has sent nothing for this time sends a heartbeat."""

SILENCE_TIMEOUT_SECONDS = 3.5
"""A side that has received nothing for this time, three heartbeats and their delay,
considers the connection lost."""

IDLE_TIMEOUT_SECONDS = 30.0
"""The initiator closes a connection without messages for this time, so that a router
keeps links only to peers that it exchanges messages with."""

READ_BYTES = 65_536

Receive = Callable[[messages.Frame], None]


class Connection:
    """A connection to one peer, authenticated by a handshake.

    Attributes
    ----------
    peer : RouterId
        The authenticated peer, empty before the handshake.
    is_initiator : bool
        Whether this side opened the connection and closes it when idle.
    """

    def __init__(
        self, channel: socket.socket, local: tuple[ids.RouterId, ids.Incarnation]
    ) -> None:
        self.peer = ids.RouterId("")
        self.is_initiator = False
        self._socket = channel
        self._local = local
        self._sequence = 0
        self._inbound = bytearray()
        self._outbound = memoryview(b"")
        self._wake_read, self._wake_write = os.pipe()
        os.set_blocking(self._wake_write, False)
        self._closing = threading.Event()
        self._sending = threading.Lock()
        self._wake_lock = threading.Lock()
        self._released = False
        self._is_running = False
        self._last_sent_at = self._last_message_at = time.monotonic()
        channel.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def handshake_as_initiator(self, keys: Sequence[str], peer: ids.RouterId) -> None:
        """Prove the fleet key as the initiator and verify the peer's proof.

        Raises
        ------
        errors.LinkError
            If the peer is another router than expected or its proof is not valid.
        """
        self.is_initiator = True
        nonce = os.urandom(proofs.NONCE_BYTES)
        self._write_frame((messages.Hello(PROTOCOL_VERSION, nonce),))
        sender, hello, proof = self._read_hello()
        if sender != peer:
            raise errors.LinkError(
                f"the peer identified itself as router {sender}",
                step="prove",
                peer=peer,
            )
        nonces = (nonce, hello.nonce)
        proofs.check_proof(keys, proof.digest, "accept", sender, nonces)
        digest = proofs.compute_proof(keys[0], "open", self._local[0], nonces)
        self._write_frame((messages.Proof(digest),))
        self.peer = peer

    def handshake_as_acceptor(self, keys: Sequence[str]) -> None:
        """Prove the fleet key as the acceptor and verify the peer's proof."""
        frame = self._read_frame()
        hello = _find(frame, messages.Hello)
        nonce = os.urandom(proofs.NONCE_BYTES)
        nonces = (hello.nonce, nonce)
        digest = proofs.compute_proof(keys[0], "accept", self._local[0], nonces)
        answer = (messages.Hello(PROTOCOL_VERSION, nonce), messages.Proof(digest))
        self._write_frame(answer)
        proof = _find(self._read_frame(), messages.Proof)
        proofs.check_proof(keys, proof.digest, "open", frame.sender, nonces)
        self.peer = frame.sender

    def wake(self) -> None:
        """Wake the connection's task so that it checks the outbox.

        The task may have just released the connection, and the system may have reused
        the pipe's descriptor. The lock and the flag prevent a stray byte from being
        written to it.
        """
        with self._wake_lock:
            if self._released:
                return
            try:
                os.write(self._wake_write, b"w")
            except BlockingIOError:
                pass  # The pipe is full, so the task wakes up in any case.

    def flush(
        self, pending: outbox.Outbox, lock: threading.Lock, counts: traffic.Traffic
    ) -> None:
        """Send pending messages on the calling thread; the task sends the remainder.

        Waking the task takes four system calls, a thread switch and the batching delay
        for each of the four messages of a request.
        """
        if not self._sending.acquire(blocking=False):
            self.wake()
            return
        try:
            if self._is_running and not self._outbound:
                self._fill(pending, lock, counts, False)
                self._send_outbound()
        except OSError:
            self._closing.set()  # The task reports the error, and a new link is opened.
        finally:
            self._sending.release()
        if self._outbound or not self._is_running or self._closing.is_set():
            self.wake()

    def close(self) -> None:
        """Make the connection's task end."""
        self._closing.set()
        self.wake()

    def run(
        self,
        pending: outbox.Outbox,
        lock: threading.Lock,
        receive: Receive,
        counts: traffic.Traffic,
    ) -> str:
        """Send and receive until the connection ends, and return the reason.

        Raises
        ------
        errors.LinkError
            If the peer sends malformed data.
        OSError
            If the connection fails.
        """
        self._socket.setblocking(False)
        self._is_running = True
        last_received_at = last_message_at = time.monotonic()
        while not self._closing.is_set():
            for frame in self._decode_frames(counts):
                last_message_at = (
                    last_received_at if frame.messages else last_message_at
                )
                receive(frame)
            now = time.monotonic()
            if now - last_received_at > SILENCE_TIMEOUT_SECONDS:
                return "silent"
            if self.is_initiator and now - last_message_at > IDLE_TIMEOUT_SECONDS:
                return "idle"
            with self._sending:
                if not self._outbound:
                    self._fill(
                        pending,
                        lock,
                        counts,
                        now - self._last_sent_at > HEARTBEAT_INTERVAL_SECONDS,
                    )
                self._send_outbound()
            last_message_at = max(last_message_at, self._last_message_at)
            if self._wait():
                if not self._read_available():
                    return "closed by the peer"
                last_received_at = time.monotonic()
        return "stopped"

    def release(self) -> None:
        """Close the socket and the pipe; called last by the connection's task."""
        self._closing.set()
        with self._wake_lock:
            self._released = True
            os.close(self._wake_read)
            os.close(self._wake_write)
        with self._sending:
            self._is_running = False
            self._socket.close()

    def _fill(
        self,
        pending: outbox.Outbox,
        lock: threading.Lock,
        counts: traffic.Traffic,
        heartbeat_due: bool,
    ) -> None:
        """Encode the next frame from the pending messages, or from a heartbeat if due.

        Must be called only when the previous frame has been sent completely. Messages
        for a slow peer stay in the outbox, where newer states replace older ones.
        """
        with lock:
            batch = pending.take_batch(time.monotonic())
        now = time.monotonic()
        if batch:
            self._last_message_at = now
        if batch or heartbeat_due:
            self._last_sent_at = now
            frame, data = self._encode_possible(batch or (messages.Heartbeat(),))
            counts.count("sent", frame, len(data))
            self._outbound = memoryview(data)

    def _send_outbound(self) -> None:
        """Send without blocking; the calling code must hold ``_sending``."""
        try:
            while self._outbound:
                self._outbound = self._outbound[self._socket.send(self._outbound) :]
        except BlockingIOError:
            pass  # The remainder is sent once the socket is writable again.

    def _wait(self) -> bool:
        """Wait for socket events, a wake-up or half a heartbeat interval.

        Returns whether the socket is readable, closed or failed.
        """
        poll = select.poll()
        poll.register(self._wake_read, select.POLLIN)
        interest = select.POLLIN | (select.POLLOUT if self._outbound else 0)
        poll.register(self._socket, interest)
        ready = dict(poll.poll(HEARTBEAT_INTERVAL_SECONDS * 500))
        if self._wake_read in ready:
            time.sleep(BATCH_DELAY_SECONDS)
            os.read(self._wake_read, READ_BYTES)
        state = ready.get(self._socket.fileno(), 0)
        return bool(state & (select.POLLIN | select.POLLHUP | select.POLLERR))

    def _read_available(self) -> bool:
        """Read available data; returns False at the end of the stream."""
        data = self._socket.recv(READ_BYTES)
        self._inbound += data
        return bool(data)

    def _decode_frames(self, counts: traffic.Traffic) -> Iterator[messages.Frame]:
        """Yield the complete frames in the input buffer, without heartbeats."""
        while (body := self._extract_frame_body(codec.FRAME_BYTES_MAX)) is not None:
            frame = codec.decode(body)
            if frame.sender != self.peer:
                raise errors.LinkError(
                    f"frame from router {frame.sender} on this connection",
                    step="read",
                    peer=self.peer,
                )
            counts.count("received", frame.messages, len(body))
            yield _drop_heartbeats(frame)

    def _extract_frame_body(self, limit: int) -> bytes | None:
        if len(self._inbound) < 4:
            return None
        (length,) = struct.unpack_from(">I", self._inbound)
        if length > limit:
            raise errors.LinkError("the frame is too long", step="read", peer=self.peer)
        if len(self._inbound) < 4 + length:
            return None
        body = bytes(self._inbound[4 : 4 + length])
        del self._inbound[: 4 + length]
        return body

    def _encode_possible(
        self, batch: tuple[messages.Message, ...]
    ) -> tuple[tuple[messages.Message, ...], bytes]:
        """Encode a batch without the messages that do not fit the schema.

        Returns the messages that are included, and the frame.
        """
        try:
            return batch, self._encode(batch)
        except ValueError:
            # One malformed message would otherwise end the link, and others with it.
            possible = tuple(each for each in batch if self._is_encodable(each))
            return possible, self._encode(possible)

    def _is_encodable(self, message: messages.Message) -> bool:
        try:
            codec.encode(messages.Frame(*self._local, 0, (message,)))
        except ValueError as error:
            events.log(
                events.Event.MESSAGE_IGNORED,
                peer=self.peer,
                message=codec.metric_name(type(message)),
                error=str(error)[: untrusted.REASON_CHARACTERS_MAX],
            )
            return False
        return True

    def _encode(self, batch: tuple[messages.Message, ...]) -> bytes:
        self._sequence += 1
        body = codec.encode(messages.Frame(*self._local, self._sequence, batch))
        return struct.pack(">I", len(body)) + body

    def _write_frame(self, batch: tuple[messages.Message, ...]) -> None:
        self._socket.sendall(self._encode(batch))

    def _read_frame(self) -> messages.Frame:
        deadline = time.monotonic() + HANDSHAKE_TIMEOUT_SECONDS
        while (body := self._extract_frame_body(HANDSHAKE_FRAME_BYTES_MAX)) is None:
            left = deadline - time.monotonic()
            if left <= 0:
                raise errors.LinkError("the handshake timed out", step="prove")
            self._socket.settimeout(left)
            data = self._socket.recv(HANDSHAKE_FRAME_BYTES_MAX)
            if not data:
                raise errors.LinkError(
                    "the peer closed the connection during the handshake", step="prove"
                )
            self._inbound += data
        return codec.decode(body)

    def _read_hello(self) -> tuple[ids.RouterId, messages.Hello, messages.Proof]:
        frame = self._read_frame()
        hello = _find(frame, messages.Hello)
        return frame.sender, hello, _find(frame, messages.Proof)


def open_connection(
    address: ids.Address, local: tuple[ids.RouterId, ids.Incarnation]
) -> Connection:
    """Connect to a peer; the handshake is left to the calling code.

    Raises
    ------
    OSError
        If the connection cannot be established.
    """
    channel = socket.create_connection(address, timeout=CONNECT_TIMEOUT_SECONDS)
    channel.settimeout(HANDSHAKE_TIMEOUT_SECONDS)
    return Connection(channel, local)


def _find(frame: messages.Frame, kind: type) -> messages.Message:
    for message in frame.messages:
        if isinstance(message, kind):
            return message
    raise errors.LinkError(
        f"expected a {kind.__name__} message", step="prove", peer=frame.sender
    )


def _drop_heartbeats(frame: messages.Frame) -> messages.Frame:
    kept = tuple(
        message
        for message in frame.messages
        if not isinstance(message, messages.Heartbeat)
    )
    return messages.Frame(frame.sender, frame.incarnation, frame.sequence, kept)
