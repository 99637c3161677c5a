"""What a caller asks for, free of HTTP and of any backend server's field names."""

from __future__ import annotations

import threading
from collections.abc import Callable

import msgspec

from celeryspan import ids

# Methods that RFC 9110 calls safe. PUT and DELETE are idempotent by the RFC, but
# services exist that book by PUT; they are repeated only if the register says so.
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


class Presence:
    """Whether somebody waits for the answer of one request.

    Each step of the request leaves a callback that ends it: it takes the request out
    of its queue, or wakes the thread that reads from the backend server.

    Attributes
    ----------
    left : bool
        Whether the caller has closed its connection.
    cut : bool
        Whether a stop has reached its greatest time.

    Parameters
    ----------
    is_closed : callable, optional
        Looks whether the caller has closed its connection by now.
    """

    def __init__(self, is_closed: Callable[[], bool] = lambda: False) -> None:
        self._is_closed = is_closed
        self._lock = threading.Lock()
        self._callback: Callable[[], None] | None = None
        self._must_end = False
        self.left = False
        self.cut = False

    @property
    def gone(self) -> bool:
        """Whether nobody waits any more."""
        return self.left or self.cut

    def watch(self, callback: Callable[[], None], *, must_end: bool = False) -> None:
        """Call back when nobody waits any more; at once if that is so already.

        Parameters
        ----------
        must_end : bool
            The step goes on if the caller leaves, and ends only by a cut.
        """
        with self._lock:
            self._callback = callback
            self._must_end = must_end
            ends = self.cut or (self.left and not must_end)
        if ends:
            callback()

    def look(self) -> bool:
        """Return whether nobody waits any more, by a look at the connection itself.

        The thread that notices closed connections may not have run for most of a
        second on a VM that has too much to do; what was sent meanwhile ran for nobody.
        """
        if not self.gone and self._is_closed():
            self.leave()
        return self.gone

    def leave(self) -> None:
        """Say that the caller has left."""
        with self._lock:
            self.left = True
            callback = None if self._must_end else self._callback
        if callback is not None:
            callback()

    def end(self) -> None:
        """Say that the process stops."""
        with self._lock:
            self.cut = True
            callback = self._callback
        if callback is not None:
            callback()


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """One request of a client account to a service.

    Attributes
    ----------
    target : str
        Path and query towards a plain service, as the caller wrote them.
    idempotent : bool
        Whether a second run does no harm.
    deadline : float
        Monotonic time after which the router gives up, in seconds.
    headers : tuple of (name, value)
        Headers to pass on.
    hint : float or None
        Rough cost known beforehand, in cost units.
    prefix : tuple of int
        Chained hashes of the prompt's blocks.
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
    presence: Presence = msgspec.field(default_factory=Presence)


class ChatCall(Call, frozen=True, kw_only=True):
    """A request to a model engine.

    Attributes
    ----------
    messages : tuple of dict
        The chat so far, each with ``role`` and ``content``.
    tokens_max : int
        Greatest number of tokens of the answer.
    stream : bool
        Whether the caller wants the tokens as they come.
    """

    model: str
    messages: tuple[dict[str, object], ...]
    tokens_max: int
    stream: bool = False


def is_idempotent(method: str, path: str, prefixes: tuple[str, ...]) -> bool:
    """Say whether a call may run twice, by its method or the register."""
    return method in SAFE_METHODS or any(path.startswith(item) for item in prefixes)
