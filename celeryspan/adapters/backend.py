"""Interface of the backend server adapters, and their registry."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Protocol, TypeVar

import msgspec
from urllib3 import response as urllib3_response

from celeryspan import calls, errors, httpconnections, ids, states

# Largest chunk of a response body to read at once.
READ_CHUNK_BYTES = 16_384

# Largest body of an answer that holds a few fields, such as a refusal or a load report.
FIELDS_BYTES_MAX = 65_536


class Declined(errors.CeleryspanError):
    """The backend server reports that it did not execute the request.

    Parameters
    ----------
    leaving : bool
        Whether the reason is that the server is leaving.
    conditional : bool
        Whether the reason may be a condition that the caller has set.
    """

    def __init__(
        self,
        message: str,
        *,
        leaving: bool = False,
        conditional: bool = False,
        step: str = "",
        peer: str = "",
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.leaving = leaving
        self.conditional = conditional


class AnswerLost(errors.CeleryspanError):
    """The connection closed, timed out or sent invalid data within the response."""


class StreamRefused(errors.CeleryspanError):
    """The backend server cannot provide the stream; a retry would fail as well."""


class Head(msgspec.Struct, frozen=True):
    """Status and headers of a response."""

    status: int
    headers: tuple[tuple[str, str], ...]


class Tokens(msgspec.Struct, frozen=True):
    """Consecutive tokens of a stream.

    Attributes
    ----------
    offset : int
        Position of the first of them in the stream.
    """

    offset: int
    texts: tuple[str, ...]


class Finished(msgspec.Struct, frozen=True):
    """The end of a complete stream.

    Attributes
    ----------
    tokens : int
        Number of tokens in the complete response.
    """

    tokens: int
    prompt_tokens: int
    cached_tokens: int
    reason: str


class Connection(httpconnections.Connection):
    """A connection to a backend server, used by one request at a time."""

    server: ids.ServerId


class PlainAdapter(Protocol):
    """Protocol client for plain services."""

    def send(
        self, connection: Connection, call: calls.Call, run: ids.RequestId
    ) -> None:
        """Write the request."""

    def receive(self, connection: Connection) -> tuple[Head, Iterator[bytes]]:
        """Return the head and the body; the iterator raises if the body is cut off."""


class ModelAdapter(Protocol):
    """Protocol client for model engines."""

    def send(
        self, connection: Connection, call: calls.ChatCall, run: ids.RequestId
    ) -> None:
        """Write the request."""

    def resume(self, connection: Connection, run: ids.RequestId, offset: int) -> None:
        """Request the rest of a stream without starting the run again."""

    def receive(
        self, connection: Connection, run: ids.RequestId, offset: int
    ) -> Iterator[Tokens | Finished]:
        """Yield a stream; data of another run or of earlier offsets is dropped."""

    def cancel(self, connection: Connection, run: ids.RequestId) -> None:
        """Ask the engine to stop a run."""


AdapterClass = TypeVar("AdapterClass", bound=Callable[[], object])

REGISTRY: dict[states.ServiceKind, Callable[[], object]] = {}


def register(kind: states.ServiceKind) -> Callable[[AdapterClass], AdapterClass]:
    """Register a class as the adapter for a kind of service."""

    def decorate(factory: AdapterClass) -> AdapterClass:
        if kind in REGISTRY:
            raise ValueError(
                f"an adapter for kind {kind.value!r} is already registered"
            )
        REGISTRY[kind] = factory
        return factory

    return decorate


def read_body(response: urllib3_response.BaseHTTPResponse) -> Iterator[bytes]:
    """Yield the body in chunks as they arrive.

    urllib3 raises if the body ends before its Content-Length or its last chunk.
    """
    while True:
        chunk = response.read1(READ_CHUNK_BYTES)
        if not chunk:
            return
        yield chunk
