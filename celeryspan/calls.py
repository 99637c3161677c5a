"""Requests of callers, independent of HTTP and of the protocols of backend servers."""

from __future__ import annotations

import threading
from collections.abc import Callable

import msgspec

from celeryspan import ids

# Methods that RFC 9110 defines as safe. It also defines PUT and DELETE as idempotent,
# but some services make bookings with PUT, so these methods are repeated only if the
# register allows it.
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


class Cancellation:
    """The cancellation state of one request.

    The current step of the request registers a callback that interrupts it, for
    example by removing the request from its queue or by waking the thread that reads
    from the backend server.

    Attributes
    ----------
    caller_left : bool
        Whether the caller has closed its connection.
    aborted : bool
        Whether the router aborted the request because its stop timeout expired.

    Parameters
    ----------
    is_closed : callable, optional
        Returns whether the caller's connection is closed now.
    """

    def __init__(self, is_closed: Callable[[], bool] = lambda: False) -> None:
        self._is_closed = is_closed
        self._lock = threading.Lock()
        self._callback: Callable[[], None] | None = None
        self._only_on_abort = False
        self.caller_left = False
        self.aborted = False

    @property
    def is_cancelled(self) -> bool:
        """Whether nobody waits for the answer any more."""
        return self.caller_left or self.aborted

    def on_cancel(
        self, callback: Callable[[], None], *, only_on_abort: bool = False
    ) -> None:
        """Set the callback for a cancellation; call it now if that has happened.

        Parameters
        ----------
        only_on_abort : bool
            The step runs to its end even if the caller leaves; only an abort
            interrupts it.
        """
        with self._lock:
            self._callback = callback
            self._only_on_abort = only_on_abort
            call_now = self.aborted or (self.caller_left and not only_on_abort)
        if call_now:
            callback()

    def check_connection(self) -> bool:
        """Check the caller's connection and return whether the request is cancelled.

        On an overloaded VM the thread that watches for closed connections may not run
        for most of a second; requests sent in that time would run for nobody.
        """
        if not self.is_cancelled and self._is_closed():
            self.note_caller_left()
        return self.is_cancelled

    def note_caller_left(self) -> None:
        """Record that the caller has left, and interrupt the current step."""
        with self._lock:
            self.caller_left = True
            callback = None if self._only_on_abort else self._callback
        if callback is not None:
            callback()

    def abort(self) -> None:
        """Abort the request because the process stops."""
        with self._lock:
            self.aborted = True
            callback = self._callback
        if callback is not None:
            callback()


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """One request of a client account to a service.

    Attributes
    ----------
    target : str
        Path and query for a plain service, as the caller sent them.
    idempotent : bool
        Whether the request may safely run twice.
    deadline : float
        Monotonic time at which the router gives up, in seconds.
    headers : tuple of (name, value)
        Headers to forward.
    hint : float or None
        Estimated cost, in cost units.
    prefix : tuple of int
        Chained hashes of the prompt's blocks; empty for plain services.
    """

    request: ids.RequestId
    service: ids.ServiceId
    account: ids.AccountId
    idempotent: bool
    deadline: float
    method: str = "POST"
    target: str = "/"
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    hint: float | None = None
    prefix: tuple[int, ...] = ()
    cancellation: Cancellation = msgspec.field(default_factory=Cancellation)


class ChatCall(Call, frozen=True, kw_only=True):
    """A request to a model engine.

    Attributes
    ----------
    messages : tuple of dict
        Messages of the chat so far, each with ``role`` and ``content``.
    tokens_max : int
        Maximum number of tokens in the answer.
    stream : bool
        Whether the caller wants tokens as they are generated.
    """

    model: str
    messages: tuple[dict[str, object], ...]
    tokens_max: int
    stream: bool = False


def is_idempotent(method: str, path: str, prefixes: tuple[str, ...]) -> bool:
    """Return whether a call may run twice: by its method, or by its path's prefix."""
    return method in SAFE_METHODS or any(path.startswith(item) for item in prefixes)
