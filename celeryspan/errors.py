"""Exceptions that record the step and the peer at which they occurred."""

from __future__ import annotations

from celeryspan import states


class CeleryspanError(Exception):
    """Base class of all exceptions raised by this package.

    Parameters
    ----------
    message : str
        What was expected, what was found and how to fix it.
    step : str
        The step that failed, such as ``"connect"`` or ``"read answer"``.
    peer : str
        The router, backend server, store or file involved, or ``""``.
    """

    def __init__(self, message: str, *, step: str = "", peer: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        context = " ".join(part for part in (self.step, self.peer) if part)
        return f"{context}: {self.message}" if context else self.message


class InputError(CeleryspanError):
    """A file or a flag contains an invalid value.

    Parameters
    ----------
    key : str
        Path of the key in the file, such as ``"accounts.2.weight"``.
    """

    def __init__(self, message: str, *, key: str = "", peer: str = "") -> None:
        super().__init__(message, step="validate", peer=peer)
        self.key = key

    def __str__(self) -> str:
        context = ": ".join(part for part in (self.peer, self.key) if part)
        return f"{context}: {self.message}" if context else self.message


class RequestError(CeleryspanError):
    """A request ended without a complete answer.

    Parameters
    ----------
    code : str
        Stable machine-readable name, such as ``"queue-full"``.
    status : int
        HTTP status returned to the caller.
    retry_after : float or None
        Time after which a retry may succeed, in seconds.
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
    """No byte of the request has reached a backend server, and none will be sent."""

    outcome = states.Outcome.NOT_RUN


class OutcomeUnknown(RequestError):
    """Bytes of the request may have been sent; whether it ran is unknown."""

    outcome = states.Outcome.UNKNOWN


class AnswerUnavailable(RequestError):
    """The request ran, but its answer is incomplete or no longer stored."""

    outcome = states.Outcome.RAN


class StoreError(CeleryspanError):
    """The object API rejected a call or did not answer it."""


class NotFound(StoreError):
    """The object API has no value under this key."""


class Conflict(StoreError):
    """A conditional write lost to another writer and had no effect."""


class StoreUnavailable(StoreError):
    """The object API did not answer; a write may or may not have taken effect."""


class StoreNotAsked(StoreUnavailable):
    """The client did not send the call, so it certainly had no effect."""


class StoreRefused(StoreUnavailable):
    """The object API answered that it did nothing; the call may be retried later."""


class HistoryGone(StoreError):
    """The object API no longer has the changes that a watch requested."""


class LinkError(CeleryspanError):
    """A link to another router failed, or the peer failed to authenticate."""


class StartError(CeleryspanError):
    """A service of the kernel did not start."""
