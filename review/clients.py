"""A client that sends one request and reads the answer as the protocol frames it."""

from __future__ import annotations

import socket
import time

HOST = "desk.example"
KEY = "k7b2ex5wa5xwyhks8nbk"


class Answer:
    """What a client got.

    Attributes
    ----------
    status : int
        0 if there was no answer.
    is_whole : bool
        Whether the answer ended as the protocol marks the end of a whole one.
    """

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_whole = False
        self.error = ""

    def __str__(self) -> str:
        whole = "whole" if self.is_whole else "not whole"
        text = f"status {self.status}, {len(self.body)} bytes, {whole}"
        return f"{text}, {self.error}" if self.error else text


def send(
    address: tuple[str, int],
    request: str,
    method: str,
    path: str,
    *,
    body: bytes = b"",
    seconds: float = 3.0,
    headers: dict[str, str] | None = None,
) -> Answer:
    """Send a request on a new channel and return the answer."""
    sent = {
        "Host": HOST,
        "Celeryspan-Request-Id": request,
        "Celeryspan-Deadline-Ms": str(int(seconds * 1000)),
        "Celeryspan-Credential": KEY,
        **(headers or {}),
    }
    if body or method == "POST":
        sent["Content-Length"] = str(len(body))
    lines = [f"{method} {path} HTTP/1.1", *(f"{n}: {v}" for n, v in sent.items())]
    data = ("\r\n".join(lines) + "\r\n\r\n").encode() + body
    answer = Answer()
    until = time.monotonic() + seconds
    try:
        with socket.create_connection(address, timeout=1.0) as channel:
            channel.sendall(data)
            _read(channel, answer, until)
    except (OSError, ValueError) as error:
        answer.error = repr(error)
    return answer


def _read(channel: socket.socket, answer: Answer, until: float) -> None:
    reader = _Reader(channel, until)
    answer.status = int(reader.read_line().split()[1])
    while line := reader.read_line().strip():
        name, _, value = line.decode("latin-1").partition(":")
        answer.headers[name.lower()] = value.strip()
    if answer.headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int(reader.read_line(), 16):
            answer.body += reader.read(size)
            if reader.read(2) != b"\r\n":
                raise ValueError("a chunk has no end")
        reader.read_line()
    elif "content-length" in answer.headers:
        answer.body = reader.read(int(answer.headers["content-length"]))
    else:
        while piece := reader.read_some():
            answer.body += piece
    answer.is_whole = True


class _Reader:
    """Reads lines and parts of known size until a time."""

    def __init__(self, channel: socket.socket, until: float) -> None:
        self._channel = channel
        self._until = until
        self._rest = b""

    def read_some(self) -> bytes:
        if self._rest:
            data, self._rest = self._rest, b""
            return data
        left = self._until - time.monotonic()
        if left <= 0:
            raise TimeoutError("the client's time limit has passed")
        self._channel.settimeout(left)
        return self._channel.recv(65_536)

    def _add(self) -> None:
        rest, self._rest = self._rest, b""
        piece = self.read_some()
        if not piece:
            self._rest = rest
            raise ConnectionError("the channel ended inside the answer")
        self._rest = rest + piece

    def read_line(self) -> bytes:
        while b"\n" not in self._rest:
            self._add()
        line, _, self._rest = self._rest.partition(b"\n")
        return line

    def read(self, size: int) -> bytes:
        while len(self._rest) < size:
            self._add()
        data, self._rest = self._rest[:size], self._rest[size:]
        return data
