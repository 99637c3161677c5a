"""The kernel service ``channels``: a pool of connections to backend servers."""

from __future__ import annotations

import collections
import http.client
import io
import itertools
import re
import select
import socket
import threading
import time
import weakref
from collections.abc import Callable, Mapping

from urllib3.util import wait as urllib3_wait

from celeryspan import (
    answerreaders,
    catalog,
    errors,
    events,
    guardedsockets,
    ids,
    kernel,
)
from celeryspan.platform import names
from celeryspan.services import callerconnections

CONNECT_SECONDS = 0.4
"""Connect timeout. A running server accepts within a few milliseconds; one without
power never does, and the request can still go to another server."""

UNACKNOWLEDGED_MS_MAX = 1_000
"""Time after which unacknowledged data counts as lost, in milliseconds. The other end
has no power, or the network has dropped the connection's state."""

SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS_MAX),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
)

IDLE_PER_SERVER_MAX = 24
"""Maximum idle connections per server."""

DEFAULT_KEEP_ALIVE_SECONDS = 4.0
"""Keep-alive time if the server announces none; below the common 5 s."""

KEEP_ALIVE_MARGIN_SECONDS = 1.0
"""A connection is not used this close to its keep-alive timeout. Servers time out in
whole seconds, and a request sent while the server closes is lost."""

AT_MOST_ONCE_IDLE_SECONDS_MAX = 1.0
"""Maximum idle time of a connection for a request that must not run twice. If the
server has dropped the connection, such a request is lost and cannot be retried."""

STALE_ANSWERS_MAX = 4
"""Maximum answers to earlier requests that are skipped on one connection."""

STALE_ANSWER_BYTES_MAX = 65_536
"""Largest body of such an answer; beyond it a new connection costs less."""

TIMEOUT_PATTERN = re.compile(r"timeout=(\d+)")

CONNECTION_ERRORS = (OSError, http.client.HTTPException, ValueError)
"""Exceptions that an open connection may raise."""


class _SharedReader(io.RawIOBase):
    """Lets consecutive answers share one read buffer.

    The parser closes its file at the end of an answer. With a separate file for each
    answer, bytes of the next answer would be lost in the closed file's buffer.
    """

    def __init__(self, reader: answerreaders.Reader) -> None:
        super().__init__()
        self._reader = reader
        self.read = reader.read
        self.read1 = reader.read1
        self.readinto = reader.readinto
        self.readline = reader.readline
        self.peek = reader.peek
        self.require_head = reader.require_head

    def makefile(self, _: str) -> _SharedReader:
        """Return itself; the parser calls this as on a socket."""
        return self

    def close(self) -> None:
        """Do nothing, so that the connection stays open."""


class Channel:
    """One connection to a backend server, used by one request at a time.

    Attributes
    ----------
    entry : ServerEntry
        The server's entry when the connection was opened.
    opened_at, reusable_until, idle_since : float
        Monotonic times, in seconds.
    is_new : bool
        Whether no answer has been read on the connection yet.
    limits : Limits
        Limits of each answer.
    """

    def __init__(
        self,
        entry: catalog.ServerEntry,
        sock: guardedsockets.GuardedSocket,
        limits: answerreaders.Limits = answerreaders.DEFAULT_LIMITS,
    ) -> None:
        self.server = entry.server
        self.entry = entry
        self.reusable_until = 0.0
        self.opened_at = self.idle_since = time.monotonic()
        self.is_new = True
        self._socket = sock
        self.limits = limits
        self._reader = answerreaders.Reader(sock.makefile("rb", buffering=0), limits)
        self._is_unusable = False
        self._use_number = 0
        self._use_lock = threading.Lock()

    def send(self, data: bytes, until: float) -> None:
        """Send a request, or as much of it as the server reads before it answers.

        A server may answer before it has read a long body; waiting until it reads the
        rest would deadlock. The connection is then not reused, because the server would
        read the next request as the rest of the body. The rest is sent on if the answer
        ends with the connection, to tell that end from a reset.

        Raises
        ------
        OSError
            If the connection fails or the deadline passes.
        """
        self._set_nonblocking()
        poll = select.poll()
        poll.register(self._socket, select.POLLIN | select.POLLOUT)
        view = memoryview(data)
        while view:
            left = until - time.monotonic()
            if left <= 0:
                raise TimeoutError("deadline passed")
            for _, state in poll.poll(left * 1000):
                if state & select.POLLOUT:
                    view = view[self._socket.send(view) :]
                elif state & (select.POLLIN | select.POLLHUP | select.POLLERR):
                    self._is_unusable = True
                    self._socket.unsent = view
                    return

    def receive(
        self, method: str, request: str, until: float
    ) -> http.client.HTTPResponse:
        """Read the head of the answer to a request with the id that was sent.

        An answer with another request id is a duplicate answer to an earlier request on
        this connection. It is read to its end and discarded.
        """
        self.set_read_deadline(until)
        for _ in range(STALE_ANSWERS_MAX):
            shared = _SharedReader(self._reader)
            answer = answerreaders.Answer(shared, method=method)
            answer.begin()
            named = answer.getheader(names.REQUEST_ID)
            if named == request or (named is None and answer.status >= 300):
                return answer
            events.log(
                events.Event.STALE_ANSWER_DROPPED, request=request, server=self.server
            )
            _discard_body(answer)
        raise http.client.HTTPException("received only answers to other requests")

    def lift_body_limit(self) -> None:
        """Let the present answer's body be of any size."""
        self._reader.lift_body_limit()

    def check_length(self, size: int) -> None:
        """Raise answerreaders.AnswerTooLong for a body that exceeds the limit."""
        self._reader.check_length(size)

    def set_read_deadline(self, until: float) -> None:
        """Set the monotonic time at which reads fail; raises TimeoutError."""
        self._socket.set_deadline(until)

    def _set_nonblocking(self) -> None:
        self._socket.clear_deadline()
        self._socket.setblocking(False)

    def is_reusable(self) -> bool:
        """Return whether the connection is open and has no unread data."""
        if self._is_unusable:
            return False
        try:
            self._set_nonblocking()
            return not self._reader.peek(1) and not urllib3_wait.wait_for_read(
                self._socket, 0
            )
        except CONNECTION_ERRORS:
            return False

    def update_keep_alive(self, answer: http.client.HTTPResponse) -> None:
        """Set how long the connection may be reused, from the headers of an answer."""
        if answer.will_close:
            self._is_unusable = True
            return
        found = TIMEOUT_PATTERN.search(answer.getheader("Keep-Alive") or "")
        seconds = float(found.group(1)) if found else DEFAULT_KEEP_ALIVE_SECONDS
        now = time.monotonic()
        self.idle_since = now
        self.reusable_until = now + max(0.0, seconds - KEEP_ALIVE_MARGIN_SECONDS)
        self.is_new = False

    def make_abort_callback(self) -> Callable[[], None]:
        """Return a callback that aborts the connection during its current use only.

        Another thread detects that a caller has disconnected. It may do so after the
        request has ended and another one uses the connection, whose answer would be
        lost by an abort.
        """
        use = self._use_number

        def abort_use() -> None:
            with self._use_lock:
                if self._use_number == use:
                    self.abort("the request was cancelled")

        return abort_use

    def end_use(self) -> None:
        """Mark the end of the current use, which disables its abort callback."""
        with self._use_lock:
            self._use_number += 1

    def abort(self, reason: str) -> None:
        """End the connection; its reader gets an error, not the end of an answer."""
        self._socket.abort(reason)

    def close(self) -> None:
        """Close the connection."""
        try:
            self._reader.close()
            self._socket.close()
        except OSError:
            pass  # The connection was reset; its descriptor is released anyway.


@kernel.register("channels")
class Channels:
    """Opens connections to backend servers and keeps idle ones for reuse."""

    def __init__(self, container: kernel.Kernel) -> None:
        self._lock = threading.Lock()
        self._idle: dict[ids.ServerId, collections.deque[Channel]] = {}
        # All idle connections, the one that has been idle longest first.
        self._idle_by_age: collections.OrderedDict[Channel, None] = (
            collections.OrderedDict()
        )
        allowed = getattr(container.settings, "descriptors_max", 0)
        self._idle_max = callerconnections.compute_budget(allowed).servers
        self._limits = container.settings.make_response_limits()
        self._open: weakref.WeakSet[Channel] = weakref.WeakSet()
        self._usable: Mapping[ids.ServerId, catalog.ServerEntry] = {}
        self._opened = 0
        self._reused = 0

    def start(self) -> None:
        """Do nothing: connections are opened on demand."""

    def stop(self) -> None:
        """Close the idle connections."""
        with self._lock:
            idle, self._idle = self._idle, {}
            self._idle_by_age.clear()
        for channels in idle.values():
            for channel in channels:
                channel.close()

    def report(self) -> dict[str, object]:
        """Return the counts of opened and reused connections for the operator."""
        return {"opened": self._opened, "reused": self._reused}

    def open(self, entry: catalog.ServerEntry, *, at_most_once: bool) -> Channel:
        """Return an idle or a new connection to a server.

        Parameters
        ----------
        at_most_once : bool
            Whether the request must not run twice.

        Raises
        ------
        errors.NotRun
            If the server does not accept a connection.
        """
        channel = self._take_idle(entry.server, at_most_once)
        if channel is not None:
            self._reused += 1
            return channel
        try:
            sock = guardedsockets.connect(
                tuple(entry.address), CONNECT_SECONDS, SOCKET_OPTIONS
            )
        except OSError as error:
            raise errors.NotRun(
                f"could not connect: {error}",
                code="server-unreachable",
                status=503,
                step="connect",
                peer=entry.server,
            ) from error
        self._opened += 1
        channel = Channel(entry, sock, self._limits)
        with self._lock:
            self._open.add(channel)
        return channel

    def release(self, channel: Channel) -> None:
        """Return a connection to the pool after its answer was read completely."""
        channel.end_use()
        now = time.monotonic()
        if now >= channel.reusable_until or not channel.is_reusable():
            channel.close()
            return
        with self._lock:
            if self._is_superseded(channel):
                channel.close()
                return
            channels = self._idle.setdefault(channel.server, collections.deque())
            channels.append(channel)
            self._idle_by_age[channel] = None
            surplus = self._evict_surplus(channels)
        for each in surplus:
            each.close()

    def _evict_surplus(self, channels: collections.deque[Channel]) -> list[Channel]:
        """Remove the connections above the limits per server and in total.

        The caller holds the lock. A limit per server alone does not suffice with
        hundreds of servers: the process would have no file descriptors left for callers
        and for the directory.
        """
        surplus = []
        if len(channels) > IDLE_PER_SERVER_MAX:
            surplus.append(channels.popleft())
            del self._idle_by_age[surplus[0]]
        while len(self._idle_by_age) > self._idle_max:
            oldest, _ = self._idle_by_age.popitem(last=False)
            self._idle[oldest.server].remove(oldest)
            surplus.append(oldest)
        return surplus

    def set_servers(self, usable: Mapping[ids.ServerId, catalog.ServerEntry]) -> None:
        """Replace the list of usable servers and close outdated connections.

        Idle connections to servers that are not listed are closed. Connections to an
        earlier incarnation of a server are dead, but may stay silent for long if the
        server lost its power. They are aborted, so that their requests are retried or
        fail at once.
        """
        with self._lock:
            self._usable = usable
            unlisted = [
                self._idle.pop(name) for name in self._idle.keys() - usable.keys()
            ]
            for channel in itertools.chain.from_iterable(unlisted):
                del self._idle_by_age[channel]
            superseded = [
                channel for channel in self._open if self._is_superseded(channel)
            ]
        for channels in unlisted:
            for channel in channels:
                channel.close()
        for channel in superseded:
            channel.abort("its server has started again")

    def _is_superseded(self, channel: Channel) -> bool:
        """Return whether a connection leads to an earlier incarnation of its server.

        The caller holds the lock. The connection keeps the entry with which it was
        opened for this comparison, because the server's entry may have expired and
        returned in between.
        """
        current = self._usable.get(channel.server)
        return current is not None and current.replaces(channel.entry)

    def _take_idle(self, server: ids.ServerId, at_most_once: bool) -> Channel | None:
        while True:
            with self._lock:
                channels = self._idle.get(server)
                if not channels:
                    return None
                channel = channels.pop()
                del self._idle_by_age[channel]
            now = time.monotonic()
            if (
                at_most_once
                and now - channel.idle_since > AT_MOST_ONCE_IDLE_SECONDS_MAX
            ):
                self.release(channel)
                return None
            if now < channel.reusable_until and channel.is_reusable():
                return channel
            channel.close()


def _discard_body(answer: http.client.HTTPResponse) -> None:
    """Read a body to its end; raises HTTPException if it is long."""
    left = STALE_ANSWER_BYTES_MAX
    while piece := answer.read1(answerreaders.READ_BYTES):
        left -= len(piece)
        if left < 0:
            raise http.client.HTTPException(
                f"an answer to another request exceeds {STALE_ANSWER_BYTES_MAX} bytes"
            )
