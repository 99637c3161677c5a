"""The kernel service ``channels``: connections to backend servers, kept with care."""

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

from urllib3.util import connection as urllib3_connection, wait as urllib3_wait

from celeryspan import catalog, errors, events, ids, kernel
from celeryspan.platform import names
from celeryspan.services import callerconnections

CONNECT_SECONDS = 0.4
"""A server's port answers within a few milliseconds; one that is dark never does, and
the request can still go to another one."""

UNACKNOWLEDGED_MS_MAX = 1_000
"""What was sent and is not acknowledged for this long is lost: the other end has no
power or the connection has been forgotten on the way. In milliseconds."""

SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS_MAX),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
)

IDLE_PER_SERVER_MAX = 24
"""Idle connections kept for each server."""

DEFAULT_KEEP_ALIVE_SECONDS = 4.0
"""How long one is kept if the server does not say; below the 5 s that are common."""

KEEP_ALIVE_MARGIN_SECONDS = 1.0
"""A server closes an idle connection after whole seconds; what is sent as it closes is
lost, so that a connection this close to its end is not used."""

AT_MOST_ONCE_IDLE_SECONDS_MAX = 1.0
"""A request that must not run twice takes a kept connection only if it was idle for
less: one that the server has dropped meanwhile loses the request for good."""

TIMEOUT_TOLERANCE_SECONDS = 0.1
"""A limit of reads may be this much late: to set it anew for each event of a stream is
one more system call for each."""

STALE_ANSWERS_MAX = 4
"""Answers of earlier requests that are skipped on one connection."""

TIMEOUT_PATTERN = re.compile(r"timeout=(\d+)")

CONNECTION_ERRORS = (OSError, http.client.HTTPException, ValueError)
"""What can go wrong on a connection once it is open."""


class _SharedReader(io.RawIOBase):
    """Lets several answers be read through the one buffer of a connection.

    The parser closes its file at the end of an answer; a file of its own for each would
    swallow bytes of the next answer in its buffer.
    """

    def __init__(self, reader: io.BufferedReader) -> None:
        super().__init__()
        self._reader = reader
        self.read = reader.read
        self.read1 = reader.read1
        self.readinto = reader.readinto
        self.readline = reader.readline
        self.peek = reader.peek

    def makefile(self, _: str) -> _SharedReader:
        """Return itself: the parser takes it for a socket."""
        return self

    def close(self) -> None:
        """Leave the connection open."""


class Channel:
    """One connection to a backend server, used by one request at a time."""

    def __init__(self, entry: catalog.ServerEntry, sock: socket.socket) -> None:
        self.server = entry.server
        self.entry = entry
        self.reusable_until = 0.0
        self.idle_since = time.monotonic()
        self.is_new = True
        self._socket = sock
        self._reader = sock.makefile("rb")
        self._is_unusable = False
        self._use_number = 0
        self._use_lock = threading.Lock()
        self._read_deadline = self._timeout_set_at = 0.0

    def send(self, data: bytes, until: float) -> None:
        """Send a whole request, or as much as the server reads before it answers.

        A server may answer before it has read a long body. Waiting for the rest to be
        taken would end in a deadlock; the connection is not used again, so that no
        other bytes stand where the rest of the body is due.

        Raises
        ------
        OSError
            If the connection breaks, or time is over.
        """
        self._set_blocking(False)
        poll = select.poll()
        poll.register(self._socket, select.POLLIN | select.POLLOUT)
        view = memoryview(data)
        while view:
            left = until - time.monotonic()
            if left <= 0:
                raise TimeoutError("time is over")
            for _, state in poll.poll(left * 1000):
                if state & select.POLLOUT:
                    view = view[self._socket.send(view) :]
                elif state & (select.POLLIN | select.POLLHUP | select.POLLERR):
                    self._is_unusable = True
                    return

    def receive(
        self, method: str, request: ids.RequestId, until: float
    ) -> http.client.HTTPResponse:
        """Read the head of the answer to a request.

        An answer that names another request is a second one to an earlier request on
        this connection; it is read to its end and dropped.
        """
        for _ in range(STALE_ANSWERS_MAX):
            self.set_read_deadline(until)
            shared = _SharedReader(self._reader)
            answer = http.client.HTTPResponse(shared, method=method)
            answer.begin()
            named = answer.getheader(names.REQUEST_ID)
            if named == request or (named is None and answer.status >= 300):
                return answer
            events.log(
                events.Event.STALE_ANSWER_DROPPED, request=request, server=self.server
            )
            answer.read()
        raise http.client.HTTPException("only answers to other requests")

    def set_read_deadline(self, until: float) -> None:
        """Let reads fail at a time.

        Raises
        ------
        TimeoutError
            If it has come.
        """
        now = time.monotonic()
        left = until - now
        if left <= 0:
            raise TimeoutError("time is over")
        if (
            until != self._read_deadline
            or now - self._timeout_set_at > TIMEOUT_TOLERANCE_SECONDS
        ):
            self._read_deadline, self._timeout_set_at = until, now
            self._socket.settimeout(left)

    def _set_blocking(self, is_blocking: bool) -> None:
        self._socket.setblocking(is_blocking)
        self._read_deadline = 0.0  # The limit of reads is gone.

    def is_reusable(self) -> bool:
        """Whether no byte waits that belongs to no request, and it is not closed."""
        if self._is_unusable:
            return False
        try:
            self._set_blocking(False)
            return not self._reader.peek(1) and not urllib3_wait.wait_for_read(
                self._socket, 0
            )
        except CONNECTION_ERRORS:
            return False

    def update_keep_alive(self, answer: http.client.HTTPResponse) -> None:
        """Take from an answer whether and how long the connection may be kept."""
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
        """Return what ends the connection for as long as its present use lasts.

        A caller's closing is noticed by another thread, at times after the request has
        ended and the connection serves somebody else's, whose answer would be lost.
        """
        use = self._use_number

        def abort_use() -> None:
            with self._use_lock:
                if self._use_number == use:
                    self.abort()

        return abort_use

    def end_use(self) -> None:
        """Note that a request is done with the connection."""
        with self._use_lock:
            self._use_number += 1

    def abort(self) -> None:
        """Wake the thread that reads; it meets the end of the connection."""
        try:
            self._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass  # The connection has ended already.

    def close(self) -> None:
        """Close the connection."""
        try:
            self._reader.close()
            self._socket.close()
        except OSError:
            pass  # It was reset; the descriptor is free either way.


@kernel.register("channels")
class Channels:
    """Opens connections to backend servers and keeps some of them open."""

    def __init__(self, box: kernel.Kernel) -> None:
        self._lock = threading.Lock()
        self._idle: dict[ids.ServerId, collections.deque[Channel]] = {}
        # All idle ones, the one that was idle for longest first.
        self._idle_by_age: collections.OrderedDict[Channel, None] = (
            collections.OrderedDict()
        )
        allowed = getattr(box.settings, "descriptors_max", 0)
        self._idle_max = callerconnections.divide(allowed).servers
        self._open: weakref.WeakSet[Channel] = weakref.WeakSet()
        self._usable: Mapping[ids.ServerId, catalog.ServerEntry] = {}
        self._opened = 0
        self._reused = 0

    def start(self) -> None:
        """Do nothing: connections are opened when they are needed."""

    def stop(self) -> None:
        """Close the idle connections."""
        with self._lock:
            idle, self._idle = self._idle, {}
            self._idle_by_age.clear()
        for channels in idle.values():
            for channel in channels:
                channel.close()

    def report(self) -> dict[str, object]:
        """Return counts for the operator."""
        return {"opened": self._opened, "reused": self._reused}

    def open(self, entry: catalog.ServerEntry, *, at_most_once: bool) -> Channel:
        """Return a connection on which nothing of a request has been sent.

        Parameters
        ----------
        at_most_once : bool
            The request must not run twice.

        Raises
        ------
        errors.NotRun
            If the server does not accept.
        """
        channel = self._take_idle(entry.server, at_most_once)
        if channel is not None:
            self._reused += 1
            return channel
        try:
            sock = urllib3_connection.create_connection(
                tuple(entry.address), CONNECT_SECONDS, socket_options=SOCKET_OPTIONS
            )
        except OSError as error:
            raise errors.NotRun(
                f"no connection: {error}",
                code="server-unreachable",
                status=503,
                step="connect",
                peer=entry.server,
            ) from error
        self._opened += 1
        channel = Channel(entry, sock)
        with self._lock:
            self._open.add(channel)
        return channel

    def release(self, channel: Channel) -> None:
        """Keep a connection whose last answer has been read to its end."""
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
        """Take out what is too much for one server, or for all; holds the lock.

        A bound for each server alone is none where there are hundreds of them: the
        process would have no descriptor left for callers and for the directory.
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
        """Close the idle connections to servers that are not among these.

        Those to an earlier incarnation of one of them are dead, and with a server that
        went dark they may stay silent for long: what waits on them is woken, and is
        repeated or given up at once.
        """
        with self._lock:
            self._usable = usable
            gone = [self._idle.pop(name) for name in self._idle.keys() - usable.keys()]
            for channel in itertools.chain.from_iterable(gone):
                del self._idle_by_age[channel]
            cut = [channel for channel in self._open if self._is_superseded(channel)]
        for channels in gone:
            for channel in channels:
                channel.close()
        for channel in cut:
            channel.abort()

    def _is_superseded(self, channel: Channel) -> bool:
        """Whether a connection leads to an earlier incarnation; holds the lock.

        The server's entry may have lapsed in between, so that only the entry with which
        the connection was opened tells.
        """
        current = self._usable.get(channel.server)
        return current is not None and current.succeeds(channel.entry)

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
