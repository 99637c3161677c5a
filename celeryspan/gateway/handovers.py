"""Passes requests on to other routers, and their answers back, on one thread.

A request that is handed over holds no thread here and nothing of its answer is looked
at: bytes that the other router sends go to the caller as they come. When the caller
leaves, the other router's connection ends, and with it the request there.
"""

from __future__ import annotations

import collections
import os
import random
import selectors
import socket
import threading
import time
from collections.abc import Callable, Container
from typing import TYPE_CHECKING

from celeryspan import errors, events, ids
from celeryspan.decisions import handovers
from celeryspan.gateway import channels

if TYPE_CHECKING:
    from celeryspan.services import httpserver, membership
    from celeryspan.wire import messages

PIECE = 65_536

TICK_SECONDS = 0.1

RESET = b"\x01\x00\x00\x00\x00\x00\x00\x00"
"""Closing resets the connection: an answer that broke off must not look whole."""

Refuse = Callable[[errors.RequestError], bytes]


class Handover:
    """One request on its way to another router.

    Attributes
    ----------
    tried : set of RouterId
        Routers that were asked to take it.
    is_sent, is_answering : bool
        Whether bytes of the request have left, and whether some of the answer came.
    watches_caller : bool
        Whether its leaving can be noticed: not once it has sent more.
    """

    def __init__(
        self,
        connection: httpserver.Connection,
        name: str,
        request: bytes,
        refuse: Refuse,
    ) -> None:
        # The connection is kept so that nothing closes its socket.
        self.connection = connection
        self.caller: socket.socket = connection.socket
        self.name = name
        self.request = request
        self.refuse = refuse
        self.tried: set[ids.RouterId] = set()
        self.peer: socket.socket | None = None
        self.peer_name = ids.RouterId("")
        self.to_peer = memoryview(request)
        self.to_caller = memoryview(b"")
        self.connect_until = 0.0
        self.is_sent = False
        self.is_answering = False
        self.watches_caller = True


class Handovers:
    """All requests that this router has handed over.

    Parameters
    ----------
    members : MembershipService
        Who else takes part.
    """

    def __init__(self, members: membership.MembershipService) -> None:
        self._members = members
        self._random = random.Random(time.time_ns())
        self._selector = selectors.DefaultSelector()
        self._wake = os.eventfd(0, os.EFD_NONBLOCK)
        self._selector.register(self._wake, selectors.EVENT_READ, None)
        self._new: collections.deque[Handover] = collections.deque()
        self._open: set[Handover] = set()
        self._taken = 0
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="handovers", daemon=True)

    def start(self) -> None:
        """Begin to pass bytes on."""
        self._thread.start()

    def stop(self) -> None:
        """Cut what is on its way."""
        self._stopped.set()
        os.eventfd_write(self._wake, 1)
        if self._thread.is_alive():
            self._thread.join()
        for handover in list(self._open):
            self._end(handover, is_whole=False)

    def count(self) -> int:
        """Return how many requests are handed over now."""
        return self._taken

    def can_take(self) -> bool:
        """Whether one more request may be handed over."""
        has_others = len(self._members.alive()) > 1
        return has_others and self._taken < handovers.HANDED_MAX

    def take(
        self,
        connection: httpserver.Connection,
        name: str,
        request: bytes,
        refuse: Refuse,
    ) -> None:
        """Hand a request over.

        Parameters
        ----------
        connection : Connection
            The caller's; it is closed at the end.
        request : bytes
            All of it, marked.
        refuse : callable
            Returns the bytes that tell the caller of an error.
        """
        self._taken += 1
        self._new.append(Handover(connection, name, request, refuse))
        os.eventfd_write(self._wake, 1)

    def _choose(self, tried: Container[ids.RouterId]) -> messages.Member | None:
        return handovers.choose_peer(
            self._members.list_beliefs(),
            self._members.own().data_centre,
            tried,
            time.monotonic(),
            self._random,
        )

    def _run(self) -> None:
        while not self._stopped.is_set():
            for key, state in self._selector.select(TICK_SECONDS):
                if key.data is None:
                    os.eventfd_read(self._wake)
                elif key.data in self._open:
                    self._follow(key.data, key.fileobj, state)
            while self._new:
                self._begin(self._new.popleft())
            now = time.monotonic()
            for handover in list(self._open):
                if not handover.is_sent and now >= handover.connect_until:
                    self._try_next(handover)

    def _begin(self, handover: Handover) -> None:
        self._open.add(handover)
        handover.caller.setblocking(False)
        self._selector.register(handover.caller, selectors.EVENT_READ, handover)
        self._try_next(handover)

    def _try_next(self, handover: Handover) -> None:
        """Connect to one more router, or refuse: nothing has been sent yet."""
        self._drop_peer(handover)
        member = self._choose(handover.tried)
        if member is None or len(handover.tried) >= handovers.TRIES_MAX:
            self._refuse(handover)
            return
        handover.tried.add(member.router)
        handover.peer_name = member.router
        handover.connect_until = time.monotonic() + handovers.CONNECT_SECONDS
        peer = handover.peer = socket.socket()
        peer.setblocking(False)
        for option in channels.SOCKET_OPTIONS:
            peer.setsockopt(*option)
        try:
            peer.connect(tuple(member.caller_address))
        except BlockingIOError:
            pass  # It is on its way.
        except OSError:
            return  # Tried again with the next look.
        self._selector.register(
            peer, selectors.EVENT_READ | selectors.EVENT_WRITE, handover
        )

    def _refuse(self, handover: Handover) -> None:
        error = errors.NotRun(
            "this router is full, and no other one takes the request",
            code="router-full",
            status=503,
            retry_after=0.5 + self._random.random(),
            step="hand over",
        )
        handover.to_caller = memoryview(handover.refuse(error))
        self._flush(handover)
        self._end(handover, is_whole=True)

    def _follow(self, handover: Handover, sock: object, state: int) -> None:
        try:
            if sock is handover.caller:
                self._follow_caller(handover, state)
            else:
                self._follow_peer(handover, state)
        except OSError:
            if not handover.is_sent and sock is handover.peer:
                self._try_next(handover)
            elif not handover.is_answering and sock is handover.peer:
                self._tell_unknown(handover)
            else:
                self._end(handover, is_whole=False)

    def _follow_caller(self, handover: Handover, state: int) -> None:
        if state & selectors.EVENT_WRITE:
            self._flush(handover)
            self._watch(handover)
        if state & selectors.EVENT_READ:
            if not handover.caller.recv(1, socket.MSG_PEEK):
                events.log(events.Event.CALLER_LEFT, request=handover.name)
                self._end(handover, is_whole=False)
            else:
                # It sends on before its answer, which nobody reads here.
                handover.watches_caller = False
                self._watch(handover)

    def _follow_peer(self, handover: Handover, state: int) -> None:
        if state & selectors.EVENT_WRITE and handover.to_peer:
            sent = handover.peer.send(handover.to_peer)
            if not handover.is_sent:
                handover.is_sent = True
                events.log(
                    events.Event.REQUEST_HANDED_OVER,
                    request=handover.name,
                    peer=handover.peer_name,
                )
            handover.to_peer = handover.to_peer[sent:]
            self._watch(handover)
        if state & selectors.EVENT_READ and not handover.to_caller:
            piece = handover.peer.recv(PIECE)
            if not piece:
                self._finish(handover)
                return
            handover.is_answering = True
            handover.to_caller = memoryview(piece)
            self._flush(handover)
            self._watch(handover)

    def _flush(self, handover: Handover) -> None:
        """Send the caller what it takes."""
        try:
            while handover.to_caller:
                sent = handover.caller.send(handover.to_caller)
                handover.to_caller = handover.to_caller[sent:]
        except BlockingIOError:
            pass  # The rest leaves when the caller has read.

    def _watch(self, handover: Handover) -> None:
        """Wait for what can go on: no more is read than the other end takes."""
        if handover not in self._open or handover.peer is None:
            return
        peer = selectors.EVENT_WRITE if handover.to_peer else 0
        if not handover.to_caller:
            peer |= selectors.EVENT_READ
        self._select(handover.peer, peer, handover)
        caller = selectors.EVENT_READ if handover.watches_caller else 0
        if handover.to_caller:
            caller |= selectors.EVENT_WRITE
        self._select(handover.caller, caller, handover)

    def _select(self, sock: socket.socket, wanted: int, handover: Handover) -> None:
        known = self._selector.get_map().get(sock.fileno())
        if known is None:
            if wanted:
                self._selector.register(sock, wanted, handover)
        elif not wanted:
            self._selector.unregister(sock)
        elif known.events != wanted:
            self._selector.modify(sock, wanted, handover)

    def _finish(self, handover: Handover) -> None:
        """End after the other router's last byte."""
        if handover.is_answering:
            self._end(handover, is_whole=True)
        else:
            self._tell_unknown(handover)

    def _tell_unknown(self, handover: Handover) -> None:
        """Say that nobody knows whether the request ran: no answer came at all."""
        error = errors.OutcomeUnknown(
            "the router that it was handed over to has not answered",
            code="answer-lost",
            status=502,
            step="hand over",
            peer=handover.peer_name,
        )
        handover.to_caller = memoryview(handover.refuse(error))
        try:
            self._flush(handover)
        except OSError:
            pass  # The caller has left as well.
        self._end(handover, is_whole=True)

    def _drop_peer(self, handover: Handover) -> None:
        if handover.peer is not None:
            self._select(handover.peer, 0, handover)
            handover.peer.close()
            handover.peer = None

    def _end(self, handover: Handover, *, is_whole: bool) -> None:
        """Close both connections; the caller's so that it shows what is whole."""
        self._open.discard(handover)
        self._taken -= 1
        self._drop_peer(handover)
        self._select(handover.caller, 0, handover)
        try:
            if not is_whole or handover.to_caller:
                handover.caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            else:
                handover.caller.shutdown(socket.SHUT_RDWR)
            handover.connection.rfile.close()
            handover.caller.close()
        except OSError:
            pass  # It has ended already.
