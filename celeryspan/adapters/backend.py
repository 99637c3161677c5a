"""What the router asks of the adapter of a backend server, and their registry."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Protocol, TypeVar

import msgspec
from urllib3 import connection as urllib3_connection, response as urllib3_response

from celeryspan import calls, errors, ids, states

# Piece of an answer body read at once, in bytes.
READ_BYTES = 16_384


class Declined(errors.CeleryspanError):
    """The backend server says itself that it did not run the request.

    Parameters
    ----------
    leaving : bool
        Whether it declines because it is leaving.
    """

    def __init__(
        self, message: str, *, leaving: bool = False, step: str = "", peer: str = ""
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.leaving = leaving


class AnswerLost(errors.CeleryspanError):
    """The connection ended, fell silent or talked nonsense before the whole answer."""


class StreamRefused(errors.CeleryspanError):
    """The backend server has no such stream to give; asking again won't help."""


class Head(msgspec.Struct, frozen=True):
    """Status and headers of an answer."""

    status: int
    headers: tuple[tuple[str, str], ...]


class Tokens(msgspec.Struct, frozen=True):
    """Some tokens of a stream.

    Attributes
    ----------
    offset : int
        Number of tokens before these.
    """

    offset: int
    texts: tuple[str, ...]


class Finished(msgspec.Struct, frozen=True):
    """The end of a whole stream.

    Attributes
    ----------
    tokens : int
        Tokens of the whole answer.
    """

    tokens: int
    prompt_tokens: int
    cached_tokens: int
    reason: str


class Link(urllib3_connection.HTTPConnection):
    """One connection to a backend server, used by one request at a time."""

    server: ids.ServerId


class PlainAdapter(Protocol):
    """Speaks to a plain service."""

    def send(self, link: Link, call: calls.Call, run: ids.RequestId) -> None:
        """Write the request."""

    def receive(self, link: Link) -> tuple[Head, Iterator[bytes]]:
        """Read the head of the answer; the iterator ends only if it is whole."""


class ModelAdapter(Protocol):
    """Speaks to a model engine."""

    def send(self, link: Link, call: calls.ChatCall, run: ids.RequestId) -> None:
        """Write the request."""

    def resume(self, link: Link, run: ids.RequestId, offset: int) -> None:
        """Ask for the rest of a stream without running it again."""

    def receive(
        self, link: Link, run: ids.RequestId, offset: int
    ) -> Iterator[Tokens | Finished]:
        """Read a stream; anything of another run or offset is dropped."""

    def cancel(self, link: Link, run: ids.RequestId) -> None:
        """Ask the engine to stop a run."""


AdapterClass = TypeVar("AdapterClass", bound=Callable[[], object])

REGISTRY: dict[states.ServiceKind, Callable[[], object]] = {}


def register(kind: states.ServiceKind) -> Callable[[AdapterClass], AdapterClass]:
    """Make a class the adapter of a kind of service."""

    def decorate(factory: AdapterClass) -> AdapterClass:
        if kind in REGISTRY:
            raise ValueError(f"kind {kind.value!r} has two adapters")
        REGISTRY[kind] = factory
        return factory

    return decorate


def read_body(response: urllib3_response.BaseHTTPResponse) -> Iterator[bytes]:
    """Yield the body as it comes.

    urllib3 raises if the body ends before its announced length or last chunk.
    """
    while True:
        piece = response.read1(READ_BYTES)
        if not piece:
            return
        yield piece
