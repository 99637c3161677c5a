"""A small stand-in for clients."""

from __future__ import annotations

import http.client
import itertools
import math
import re
import time
import uuid
from typing import NamedTuple

EVENT = re.compile(rb"id: (\d+)\ndata: ([^\n]*)\n\n")
HOST = "ficu95.example"


class Answer(NamedTuple):
    """What a client got for one request.

    Attributes
    ----------
    status : int
        0 if no head of an answer came.
    is_whole : bool
        Whether the answer was seen to be complete.
    """

    request: str
    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool
    error: str

    @property
    def events(self) -> list[tuple[int, str]]:
        """The events of a stream: number and data."""
        return [
            (int(number), data.decode("latin-1"))
            for number, data in EVENT.findall(self.body)
        ]


def make_request_id() -> str:
    """Return a new request id."""
    return uuid.uuid4().hex[:16]


class Channel:
    """One channel to a router, for one request after the other."""

    def __init__(self, address: str, seconds: float) -> None:
        host, _, port = address.partition(":")
        self._connection = http.client.HTTPConnection(host, int(port), timeout=seconds)

    def ask(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes | None = None,
        request: str = "",
    ) -> Answer:
        """Send a request and read its answer to the end."""
        return self.ask_until(method, path, headers, body, math.inf, request)

    def ask_until(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes | None,
        until: float,
        request: str = "",
    ) -> Answer:
        """Send a request and read its answer until a time (monotonic), then leave."""
        request = request or make_request_id()
        sent = {"Host": HOST, "Celeryspan-Request-Id": request, **headers}
        status, found, pieces, error = 0, {}, [], ""
        try:
            self._connection.request(method, path, body, sent)
            answer = self._connection.getresponse()
            status = answer.status
            found = {name.lower(): value for name, value in answer.getheaders()}
            for _ in itertools.count():
                piece = answer.read1(65_536)
                if not piece:
                    break
                pieces.append(piece)
                if time.monotonic() >= until:
                    error = "left by this client"
                    break
            if answer.length:
                error = "shorter than its length"
            if not error:
                answer.close()
        except (OSError, http.client.HTTPException) as failure:
            error = repr(failure)
        if error:
            self.close()
        return Answer(
            request, status, found, b"".join(pieces), status > 0 and not error, error
        )

    def close(self) -> None:
        """Close the channel; the next request opens another one."""
        self._connection.close()


def ask_once(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes | None = None,
    request: str = "",
    seconds: float = 20.0,
) -> Answer:
    """Send one request on a channel of its own."""
    channel = Channel(address, seconds)
    try:
        return channel.ask(method, path, headers, body, request)
    finally:
        channel.close()
