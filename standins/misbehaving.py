"""Crowds of clients that do not behave: bytes without end, slow bytes, odd names.

Each behaviour is a function that yields what one client sends on one connection. It is
listed in :data:`BEHAVIOURS` under the name by which tests choose it.
"""

from __future__ import annotations

import contextlib
import enum
import http.client
import itertools
import socket
import threading
import time
from collections.abc import Callable, Iterator
from typing import NamedTuple

import msgspec

from celeryspan import ids

BYTES_PER_SECOND_MAX = 15_000_000
"""Rate at which one client sends at most."""

SEND_SECONDS = 0.5
"""Time without progress after which a client opens another connection."""

RECONNECT_SECONDS = 0.05
"""Pause before it does so."""

ANSWER_SECONDS = 10.0
"""Time for which a client that reads answers waits for one."""

SLOW_READ_SECONDS = 0.5
SLOW_READ_BYTES = 4_096

DRIP_SECONDS = 0.1
"""Pause between two single bytes of a slow client."""

SLOW_DRIP_SECONDS = 0.4
"""The same of one whose connection is closed once it sends nothing for 0.5 s."""

PIECE = b"x" * 65_536
CHUNKED = {"Transfer-Encoding": "chunked"}


class Endpoint(NamedTuple):
    """An address that serves HTTP, and an ordinary request to it.

    Attributes
    ----------
    address : str
        IP address and port.
    method, target : str
        Method and path of the request.
    headers : dict
        Headers of the request, without those that frame its body.
    """

    address: str
    method: str
    target: str
    headers: dict[str, str]

    def write_head(self, headers: dict[str, str], *, is_whole: bool = True) -> bytes:
        """Return the head of a request with further headers.

        Parameters
        ----------
        is_whole : bool
            Whether to end the head.
        """
        lines = [f"{self.method} {self.target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in self.headers.items()]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        return ("\r\n".join(lines) + "\r\n" * (1 + is_whole)).encode("latin-1")


class Reading(enum.Enum):
    """What a client reads after each piece that it sends."""

    NOTHING = "nothing"
    LITTLE = "little"
    ANSWER = "answer"


class Category(enum.Enum):
    """What kind of load a behaviour is."""

    FLOOD = "bytes that come as fast as possible"
    HOLD = "requests that never arrive whole"
    WAIT = "heads that are large once they are parsed, of requests that wait"
    PARSED = "documents and queries that are large once they are parsed"
    NAMES = "names that nobody has sent before"
    SLOW_READING = "answers that are taken slowly"
    STRANGER_FLOOD = "bytes that are no message between routers"
    STRANGER_HOLD = "connections between routers that prove nothing"


class Behaviour(msgspec.Struct, frozen=True):
    """What one client does on one connection.

    Attributes
    ----------
    write : callable
        Yields what is sent to an endpoint.
    category : Category
    pause : float
        Time between two pieces, in seconds.
    reading : Reading
        What is read after each piece.
    """

    write: Callable[[Endpoint], Iterator[bytes]]
    category: Category
    pause: float = 0.0
    reading: Reading = Reading.NOTHING


BEHAVIOURS: dict[str, Behaviour] = {}


def register(
    name: str,
    category: Category,
    *,
    pause: float = 0.0,
    reading: Reading = Reading.NOTHING,
) -> Callable:
    """List a behaviour under a name."""

    def decorate(write: Callable[[Endpoint], Iterator[bytes]]) -> Callable:
        BEHAVIOURS[name] = Behaviour(write, category, pause, reading)
        return write

    return decorate


def list_names(category: Category) -> list[str]:
    """Return the names of the behaviours of one category."""
    return [name for name, each in BEHAVIOURS.items() if each.category is category]


@register("request line without end", Category.FLOOD)
def write_endless_request_line(endpoint: Endpoint) -> Iterator[bytes]:
    """Begin a request line that never ends."""
    yield f"{endpoint.method} /".encode()
    yield from itertools.repeat(PIECE)


@register("header line without end", Category.FLOOD)
def write_endless_header_line(endpoint: Endpoint) -> Iterator[bytes]:
    """Begin a header that never ends."""
    yield endpoint.write_head({}, is_whole=False) + b"X-Long: "
    yield from itertools.repeat(PIECE)


@register("header lines without end", Category.FLOOD)
def write_endless_header_lines(endpoint: Endpoint) -> Iterator[bytes]:
    """Send headers for ever."""
    yield endpoint.write_head({}, is_whole=False)
    for number in itertools.count():
        yield b"".join(b"x-%d-%d: 1\r\n" % (number, each) for each in range(1_000))


@register("trailer line without end", Category.FLOOD)
def write_endless_trailer_line(endpoint: Endpoint) -> Iterator[bytes]:
    """Begin a trailer that never ends."""
    yield endpoint.write_head(CHUNKED) + b"3\r\nabc\r\n0\r\nX-Long: "
    yield from itertools.repeat(PIECE)


@register("trailers without end", Category.FLOOD)
def write_endless_trailers(endpoint: Endpoint) -> Iterator[bytes]:
    """Send trailers for ever."""
    yield endpoint.write_head(CHUNKED) + b"3\r\nabc\r\n0\r\n"
    yield from itertools.repeat(b"X-Short: 1\r\n" * 4_000)


@register("chunk size without end", Category.FLOOD)
def write_endless_chunk_size(endpoint: Endpoint) -> Iterator[bytes]:
    """Begin the size of a chunk that never ends."""
    yield endpoint.write_head(CHUNKED)
    yield from itertools.repeat(b"0" * len(PIECE))


@register("chunk extension without end", Category.FLOOD)
def write_endless_chunk_extension(endpoint: Endpoint) -> Iterator[bytes]:
    """Begin the extension of a chunk that never ends."""
    yield endpoint.write_head(CHUNKED) + b"3;name="
    yield from itertools.repeat(PIECE)


@register("negative chunk size", Category.FLOOD)
def write_negative_chunk_size(endpoint: Endpoint) -> Iterator[bytes]:
    """Send a chunk of negative size, then bytes."""
    yield endpoint.write_head(CHUNKED) + b"-5\r\n"
    yield from itertools.repeat(PIECE)


@register("chunks without end", Category.FLOOD)
def write_endless_chunks(endpoint: Endpoint) -> Iterator[bytes]:
    """Send chunks past any limit of a body."""
    yield endpoint.write_head(CHUNKED)
    yield from itertools.repeat(b"4000\r\n" + b"x" * 0x4000 + b"\r\n")


@register("chunks of one byte", Category.FLOOD)
def write_tiny_chunks(endpoint: Endpoint) -> Iterator[bytes]:
    """Send a body of chunks of one byte for ever."""
    yield endpoint.write_head(CHUNKED)
    yield from itertools.repeat(b"1\r\nx\r\n" * 2_000)


@register("body that is never finished", Category.HOLD, pause=DRIP_SECONDS)
def write_unfinished_body(endpoint: Endpoint) -> Iterator[bytes]:
    """Send nearly all of a large body and wait."""
    size = 4_000_000
    yield endpoint.write_head({"Content-Length": str(size)}) + b"x" * (size - 1_000)
    yield from itertools.repeat(b"")


@register("chunked body that is never finished", Category.HOLD, pause=DRIP_SECONDS)
def write_unfinished_chunks(endpoint: Endpoint) -> Iterator[bytes]:
    """Send nearly all of a large body in chunks and wait."""
    yield endpoint.write_head(CHUNKED) + (b"4000\r\n" + b"x" * 0x4000 + b"\r\n") * 240
    yield from itertools.repeat(b"")


@register("head byte by byte", Category.HOLD, pause=DRIP_SECONDS)
def write_slow_head(endpoint: Endpoint) -> Iterator[bytes]:
    """Send a head in single bytes."""
    yield endpoint.write_head({}, is_whole=False) + b"X-Slow: "
    yield from itertools.repeat(b"x")


@register("body byte by byte", Category.HOLD, pause=DRIP_SECONDS)
def write_slow_body(endpoint: Endpoint) -> Iterator[bytes]:
    """Send a body in single bytes."""
    yield endpoint.write_head({"Content-Length": "90000"})
    yield from itertools.repeat(b"x")


@register("chunked body byte by byte", Category.HOLD, pause=DRIP_SECONDS)
def write_slow_chunks(endpoint: Endpoint) -> Iterator[bytes]:
    """Send a body in chunks of single bytes, slowly."""
    yield endpoint.write_head(CHUNKED)
    yield from itertools.repeat(b"1\r\nx\r\n")


@register("trailers line by line", Category.HOLD, pause=DRIP_SECONDS)
def write_slow_trailers(endpoint: Endpoint) -> Iterator[bytes]:
    """Send trailers slowly."""
    yield endpoint.write_head(CHUNKED) + b"3\r\nabc\r\n0\r\n"
    yield from itertools.repeat(b"X-Short: 1\r\n")


@register("refused body byte by byte", Category.HOLD, pause=SLOW_DRIP_SECONDS)
def write_slow_refused_body(endpoint: Endpoint) -> Iterator[bytes]:
    """Send a body that is refused, and further single bytes after it."""
    yield endpoint.write_head(CHUNKED) + b"-5\r\n"
    yield from itertools.repeat(b"x")


@register("expected continuation", Category.HOLD, pause=DRIP_SECONDS)
def write_expectation(endpoint: Endpoint) -> Iterator[bytes]:
    """Ask for an interim answer, and send no body after it."""
    yield endpoint.write_head({"Content-Length": "9", "Expect": "100-continue"})
    yield from itertools.repeat(b"")


@register("answers unread", Category.FLOOD)
def write_unread(endpoint: Endpoint) -> Iterator[bytes]:
    """Send requests for ever and read no answer."""
    yield from itertools.repeat(endpoint.write_head({"Content-Length": "0"}) * 100)


@register(
    "answers taken slowly",
    Category.SLOW_READING,
    pause=SLOW_READ_SECONDS,
    reading=Reading.LITTLE,
)
def write_slow_reader(endpoint: Endpoint) -> Iterator[bytes]:
    """Send one request and take its answer by a few kilobytes a second."""
    yield endpoint.write_head({"Content-Length": "0"})
    yield from itertools.repeat(b"")


@register("thousands of headers", Category.WAIT, pause=DRIP_SECONDS)
def write_many_headers(endpoint: Endpoint) -> Iterator[bytes]:
    """Send one request with as many headers as fit, and wait for its answer."""
    names = map("".join, itertools.product("abcdefghij", repeat=4))
    headers = dict.fromkeys(itertools.islice(names, 2_000), "")
    yield endpoint.write_head({"Content-Length": "0", **headers})
    yield from itertools.repeat(b"")


@register("thousands of prompt parts", Category.WAIT, pause=DRIP_SECONDS)
def write_many_parts(endpoint: Endpoint) -> Iterator[bytes]:
    """Send one request with as many prompt parts as fit, and wait for its answer."""
    parts = [f"{number:x}:0" for number in range(2_500)]
    yield _write_prompt(endpoint, "many", parts)
    yield from itertools.repeat(b"")


@register("thousands of values", Category.PARSED, reading=Reading.ANSWER)
def write_many_values(endpoint: Endpoint) -> Iterator[bytes]:
    """Send JSON documents that hold nothing but empty values."""
    body = b'{"model": "m", "messages": [' + b"{}," * 1_300_000 + b"{}]}"
    yield from itertools.repeat(
        endpoint.write_head({"Content-Length": str(len(body))}) + body
    )


@register("thousands of parameters", Category.PARSED, reading=Reading.ANSWER)
def write_many_parameters(endpoint: Endpoint) -> Iterator[bytes]:
    """Send requests whose query has as many parameters as fit."""
    query = "&".join(f"{number:x}=" for number in range(3_000))
    asked = endpoint._replace(target=f"{endpoint.target}?{query}")
    yield from itertools.repeat(asked.write_head({"Content-Length": "0"}))


@register("new prompt parts", Category.NAMES, reading=Reading.ANSWER)
def write_new_parts(endpoint: Endpoint) -> Iterator[bytes]:
    """Send requests whose prompts have 800 parts that nobody has sent before."""
    for number in _count_from_clock():
        parts = [f"{number:x}.{each:x}:0" for each in range(800)]
        yield _write_prompt(endpoint, f"{number:x}", parts)


@register("new long prompt parts", Category.NAMES, reading=Reading.ANSWER)
def write_long_parts(endpoint: Endpoint) -> Iterator[bytes]:
    """Send requests whose prompts have parts with names of thousands of characters."""
    for number in _count_from_clock():
        parts = [f"{number:x}.{each}{'0' * 5_000}:0" for each in range(3)]
        yield _write_prompt(endpoint, f"{number:x}", parts)


@register("long request ids", Category.NAMES, reading=Reading.ANSWER)
def write_long_ids(endpoint: Endpoint) -> Iterator[bytes]:
    """Send requests with ids of thousands of characters."""
    for number in _count_from_clock():
        yield endpoint.write_head(
            {
                "Content-Length": "0",
                "Celeryspan-Request-Id": f"{number:x}-{'i' * 8_000}",
            }
        )


@register("equal request ids", Category.NAMES, reading=Reading.ANSWER)
def write_equal_ids(endpoint: Endpoint) -> Iterator[bytes]:
    """Send requests that all have the same id."""
    yield from itertools.repeat(
        endpoint.write_head({"Content-Length": "0", "Celeryspan-Request-Id": "same"})
    )


@register("silence", Category.STRANGER_HOLD, pause=DRIP_SECONDS)
def write_nothing(endpoint: Endpoint) -> Iterator[bytes]:
    """Send nothing."""
    yield from itertools.repeat(b"")


@register("single bytes", Category.STRANGER_HOLD, pause=DRIP_SECONDS)
def write_single_bytes(endpoint: Endpoint) -> Iterator[bytes]:
    """Send zeros in single bytes."""
    yield from itertools.repeat(b"\0")


@register("ones without end", Category.STRANGER_FLOOD)
def write_ones(endpoint: Endpoint) -> Iterator[bytes]:
    """Send bytes of which all bits are set."""
    yield from itertools.repeat(b"\xff" * len(PIECE))


def _write_prompt(endpoint: Endpoint, request: str, parts: list[str]) -> bytes:
    """Return a request whose prompt has some parts."""
    return endpoint.write_head(
        {
            "Content-Length": "0",
            "Celeryspan-Request-Id": request,
            "Celeryspan-Prefix-Hash": ",".join(parts),
        }
    )


def _count_from_clock() -> Iterator[int]:
    """Count from a number that no other client uses."""
    return itertools.count(time.monotonic_ns() & 0xFFFF_FFFF)


class Crowd:
    """Clients that behave alike, each on a thread and a connection of its own.

    Attributes
    ----------
    connections, bytes_sent, pieces : int
        What all clients have opened and sent.
    held : Semaphore
        Released by each client once its first piece was sent.

    Parameters
    ----------
    size : int
        Number of clients.
    """

    def __init__(self, endpoint: Endpoint, behaviour: str, size: int) -> None:
        self._endpoint = endpoint
        self._behaviour = BEHAVIOURS[behaviour]
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        self.connections = self.bytes_sent = self.pieces = 0
        self.held = threading.Semaphore(0)
        self._threads = [
            threading.Thread(target=self._run, daemon=True) for _ in range(size)
        ]

    def __enter__(self) -> Crowd:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def wait_until_held(self, seconds: float) -> None:
        """Wait until each client has sent its first piece.

        Raises
        ------
        TimeoutError
            If some have not within a number of seconds.
        """
        until = time.monotonic() + seconds
        for _ in self._threads:
            if not self.held.acquire(timeout=max(0.0, until - time.monotonic())):
                raise TimeoutError("expected all clients to send, some could not")

    def _run(self) -> None:
        is_first = True
        while not self._stopped.is_set():
            # A router may refuse such clients or close their connections.
            with contextlib.suppress(OSError, http.client.HTTPException):
                is_first = self._run_connection(is_first)
            self._stopped.wait(RECONNECT_SECONDS)

    def _run_connection(self, is_first: bool) -> bool:
        """Run one connection to its end; returns whether nothing was sent at all."""
        host, _, port = self._endpoint.address.partition(":")
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as connection:
            connection.settimeout(SEND_SECONDS)
            if self._behaviour.reading is Reading.LITTLE:
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_READ_BYTES
                )
            connection.connect((host, int(port)))
            with self._lock:
                self.connections += 1
            for piece in self._behaviour.write(self._endpoint):
                if self._stopped.is_set():
                    break
                connection.sendall(piece)
                if is_first:
                    is_first = False
                    self.held.release()
                with self._lock:
                    self.bytes_sent += len(piece)
                    self.pieces += 1
                self._read(connection)
                pause = max(self._behaviour.pause, len(piece) / BYTES_PER_SECOND_MAX)
                self._stopped.wait(pause)
        return is_first

    def _read(self, connection: socket.socket) -> None:
        if self._behaviour.reading is Reading.LITTLE:
            connection.settimeout(ANSWER_SECONDS)
            connection.recv(SLOW_READ_BYTES)
        elif self._behaviour.reading is Reading.ANSWER:
            connection.settimeout(ANSWER_SECONDS)
            with contextlib.closing(http.client.HTTPResponse(connection)) as answer:
                answer.begin()
                answer.read()


def send_datagrams(address: ids.Address, count: int, size: int) -> None:
    """Send datagrams that no router has signed."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for _ in range(count):
            sender.sendto(b"x" * size, address)
