"""Errors that carry the step and the peer at which they arose."""

from __future__ import annotations

from celeryspan import states


class CeleryspanError(Exception):
    """Base of all errors raised by this package.

    Parameters
    ----------
    message : str
        What was expected, what was found and what to do.
    step : str
        The step that failed, such as ``"connect"`` or ``"read answer"``.
    peer : str
        The other end (router, backend server, store, file), or ``""``.
    """

    def __init__(self, message: str, *, step: str = "", peer: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        place = " ".join(part for part in (self.step, self.peer) if part)
        return f"{place}: {self.message}" if place else self.message


class InputError(CeleryspanError):
    """A file or a flag holds something that is not valid.

    Parameters
    ----------
    key : str
        Path of the key inside the file, such as ``"accounts.2.weight"``.
    """

    def __init__(self, message: str, *, key: str = "", peer: str = "") -> None:
        super().__init__(message, step="validate", peer=peer)
        self.key = key

    def __str__(self) -> str:
        place = ": ".join(part for part in (self.peer, self.key) if part)
        return f"{place}: {self.message}" if place else self.message


class RequestError(CeleryspanError):
    """A request that ends without a whole answer.

    Parameters
    ----------
    code : str
        Stable machine-readable name, such as ``"queue-full"``.
    status : int
        HTTP status towards the caller.
    retry_after : float or None
        Seconds after which a repeat is worth while.
    """

    outcome = states.Outcome.UNKNOWN

    def __init__(
        self,
        message: str,
        *,
        code: str,
        status: int = 502,
        retry_after: float | None = None,
        step: str = "",
        peer: str = "",
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.code = code
        self.status = status
        self.retry_after = retry_after


class NotRun(RequestError):
    """No byte of the request has reached a backend server, and none will."""

    outcome = states.Outcome.NOT_RUN


class OutcomeUnknown(RequestError):
    """Bytes of the request may have left; whether it ran is not known."""

    outcome = states.Outcome.UNKNOWN


class AnswerUnavailable(RequestError):
    """The request ran; its answer is not whole, or no longer kept."""

    outcome = states.Outcome.RAN


class StoreError(CeleryspanError):
    """The object API refused a call or did not answer it."""


class NotFound(StoreError):
    """The object API holds no value under this key."""


class Conflict(StoreError):
    """A conditional write lost against another writer; it took no effect."""


class StoreUnavailable(StoreError):
    """No answer from the object API; a write may or may not have taken effect."""


class StoreNotAsked(StoreUnavailable):
    """The call was held back here, so that it certainly took no effect."""


class StoreRefused(StoreUnavailable):
    """The object API answered that it did nothing; try again later."""


class HistoryGone(StoreError):
    """The object API no longer has the changes that a watch asked for."""


class LinkError(CeleryspanError):
    """A link to another router failed, or the peer could not prove itself."""


class StartError(CeleryspanError):
    """A service of the kernel did not start."""
