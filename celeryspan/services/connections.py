"""One connection between two routers: framing, proof, heartbeat, batching."""

from __future__ import annotations

import os
import select
import socket
import struct
import threading
import time
from collections.abc import Callable, Iterator, Sequence

from celeryspan import errors, ids
from celeryspan.services import traffic
from celeryspan.wire import codec, messages, outbox, proofs

PROTOCOL_VERSION = 1

CONNECT_TIMEOUT_SECONDS = 2.0
"""A peer in another region answers within 0.3 s; lost first packets are sent again
after 1 s."""

HANDSHAKE_TIMEOUT_SECONDS = 2.0
"""Greatest time for the proof, so that a stranger can't hold a thread for long."""

HANDSHAKE_FRAME_BYTES_MAX = 1_024
"""Greatest frame before the proof: hello and proof take under 200 bytes."""

BATCH_DELAY_SECONDS = 0.003
"""How long a first message waits for others: far below the 46 ms between tokens."""

HEARTBEAT_INTERVAL_SECONDS = 1.0
"""A side that has sent nothing for this long sends a heartbeat."""

SILENCE_TIMEOUT_SECONDS = 3.5
"""A side that has heard nothing for this long, three heartbeats and their delay,
holds the connection for lost."""

IDLE_TIMEOUT_SECONDS = 30.0
"""The opening side closes a connection over which no message went for this long, so
that a router keeps links only to the peers that it works with."""

READ_BYTES = 65_536

Receive = Callable[[messages.Frame], None]


class Connection:
    """A proven connection to one peer.

    Parameters
    ----------
    is_initiator : bool
        Whether this side opened it, and so closes it when idle.
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
        """Prove the fleet key as the opening side, and check the peer's proof.

        Raises
        ------
        errors.LinkError
            If the peer is another router than expected or proves no key.
        """
        self.is_initiator = True
        nonce = os.urandom(proofs.NONCE_BYTES)
        self._write_frame((messages.Hello(PROTOCOL_VERSION, nonce),))
        sender, hello, proof = self._read_hello()
        if sender != peer:
            raise errors.LinkError(f"found router {sender}", step="prove", peer=peer)
        nonces = (nonce, hello.nonce)
        proofs.check_proof(keys, proof.digest, "accept", sender, nonces)
        digest = proofs.prove(keys[0], "open", self._local[0], nonces)
        self._write_frame((messages.Proof(digest),))
        self.peer = peer

    def handshake_as_acceptor(self, keys: Sequence[str]) -> None:
        """Prove the fleet key as the accepting side, and check the peer's proof."""
        frame = self._read_frame()
        hello = _find(frame, messages.Hello)
        nonce = os.urandom(proofs.NONCE_BYTES)
        nonces = (hello.nonce, nonce)
        digest = proofs.prove(keys[0], "accept", self._local[0], nonces)
        answer = (messages.Hello(PROTOCOL_VERSION, nonce), messages.Proof(digest))
        self._write_frame(answer)
        proof = _find(self._read_frame(), messages.Proof)
        proofs.check_proof(keys, proof.digest, "open", frame.sender, nonces)
        self.peer = frame.sender

    def wake(self) -> None:
        """Make the task of this connection look at its outbox.

        A sender may hold a connection whose task has just released it. Its file
        descriptor may by then be another's, which would get a stray byte; the lock
        and the flag keep the two apart.
        """
        with self._wake_lock:
            if self._released:
                return
            try:
                os.write(self._wake_write, b"w")
            except BlockingIOError:
                pass  # The pipe is full, so that the task wakes anyway.

    def flush(
        self, pending: outbox.Outbox, lock: threading.Lock, counts: traffic.Traffic
    ) -> None:
        """Send what waits from the calling thread; the task sends what is left.

        To wake the task takes four system calls, a switch of threads and the time that
        it lets messages gather, on each of the four messages of a request.
        """
        if not self._sending.acquire(blocking=False):
            self.wake()
            return
        try:
            if self._is_running and not self._outbound:
                self._fill(pending, lock, counts, False)
                self._send_outbound()
        except OSError:
            self._closing.set()  # The task finds out why, and opens another link.
        finally:
            self._sending.release()
        if self._outbound or not self._is_running or self._closing.is_set():
            self.wake()

    def close(self) -> None:
        """Make the task of this connection end."""
        self._closing.set()
        self.wake()

    def run(
        self,
        pending: outbox.Outbox,
        lock: threading.Lock,
        receive: Receive,
        counts: traffic.Traffic,
    ) -> str:
        """Send and receive until the connection ends; returns why it ended.

        Raises
        ------
        errors.LinkError
            If the peer sends something malformed.
        OSError
            If the connection breaks.
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
        """Close the socket and the pipe; the task calls this last."""
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
        """Make the next frame out of what waits, or of a heartbeat.

        Nothing is taken while the frame before is not sent off: what a slow peer has
        not read stays in the outbox, where newer states replace older ones.
        """
        with lock:
            batch = pending.take(time.monotonic())
        now = time.monotonic()
        if batch:
            self._last_message_at = now
        if batch or heartbeat_due:
            self._last_sent_at = now
            frame = batch or (messages.Heartbeat(),)
            data = self._encode(frame)
            counts.count("sent", frame, len(data))
            self._outbound = memoryview(data)

    def _send_outbound(self) -> None:
        """Send as much as the peer takes; the caller holds the lock for sending."""
        try:
            while self._outbound:
                self._outbound = self._outbound[self._socket.send(self._outbound) :]
        except BlockingIOError:
            pass  # The rest leaves when the peer has read.

    def _wait(self) -> bool:
        """Wait for the peer, for a waking or for the next heartbeat."""
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
        """Read what there is; False at the end of the stream."""
        data = self._socket.recv(READ_BYTES)
        self._inbound += data
        return bool(data)

    def _decode_frames(self, counts: traffic.Traffic) -> Iterator[messages.Frame]:
        """Take the whole frames out of what was read."""
        while (body := self._extract_frame_body(codec.FRAME_BYTES_MAX)) is not None:
            frame = codec.decode(body)
            if frame.sender != self.peer:
                raise errors.LinkError("changed its name", step="read", peer=self.peer)
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
                raise errors.LinkError("took too long", step="prove")
            self._socket.settimeout(left)
            data = self._socket.recv(HANDSHAKE_FRAME_BYTES_MAX)
            if not data:
                raise errors.LinkError("closed before its proof", step="prove")
            self._inbound += data
        return codec.decode(body)

    def _read_hello(self) -> tuple[ids.RouterId, messages.Hello, messages.Proof]:
        frame = self._read_frame()
        hello = _find(frame, messages.Hello)
        return frame.sender, hello, _find(frame, messages.Proof)


def open_connection(
    address: ids.Address, local: tuple[ids.RouterId, ids.Incarnation]
) -> Connection:
    """Connect to a peer; the proof is still to be made.

    Raises
    ------
    OSError
        If nobody answers there.
    """
    channel = socket.create_connection(address, timeout=CONNECT_TIMEOUT_SECONDS)
    channel.settimeout(HANDSHAKE_TIMEOUT_SECONDS)
    return Connection(channel, local)


def _find(frame: messages.Frame, kind: type) -> messages.Message:
    for message in frame.messages:
        if isinstance(message, kind):
            return message
    raise errors.LinkError(f"expected {kind.__name__}", step="prove", peer=frame.sender)


def _drop_heartbeats(frame: messages.Frame) -> messages.Frame:
    kept = tuple(
        message
        for message in frame.messages
        if not isinstance(message, messages.Heartbeat)
    )
    return messages.Frame(frame.sender, frame.incarnation, frame.sequence, kept)
