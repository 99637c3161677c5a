"""Servers that end their answers inside the head, before a router as a process."""

from __future__ import annotations

import contextlib
import pathlib
import socket
import struct

import pytest

from standins import sampleconfig
from tests import scripted
from tests.gateway import processes, support

HEAD = (
    b"HTTP/1.1 200 OK\r\nCeleryspan-Request-Id: r1\r\n"
    b"Celeryspan-Server-Stamp: 3e1b.07\r\nContent-Type: text/event-stream\r\n"
)
FRAMINGS = {
    "length": b"Content-Length: 0\r\n\r\n",
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n",
    "none": b"\r\n",
}
RESET = struct.pack("ii", 1, 0)
STEP = 5
"""Distance between two lengths at which a head is cut; ends of lines come besides."""


class CuttingServer:
    """Answers each request with the first bytes of a head, and closes."""

    def __init__(self, part: bytes, *, resets: bool) -> None:
        self._part, self._resets = part, resets
        self.server = scripted.Server(self._answer)

    def _answer(self, connection: socket.socket, _: scripted.Received) -> bool:
        connection.sendall(self._part)
        if self._resets:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        return False


def list_sizes(head: bytes) -> list[int]:
    """Return the lengths at which a head is cut."""
    ends = [at + 1 for at, byte in enumerate(head) if byte == ord("\n")]
    return sorted({*range(1, len(head), STEP), *ends[:-1]})


def ask(router: processes.ProcessRouter, path: str, resumed: str, number: int) -> bytes:
    """Send one request on a new connection and return all that is answered."""
    # Equal requests would be held, since they seem to crash their servers.
    body = f"asked {number}"
    host, _, port = router.caller_address.partition(":")
    with socket.create_connection((host, int(port)), support.WAIT_SECONDS) as caller:
        caller.sendall(
            f"POST {path}{number} HTTP/1.1\r\nHost: {support.HOST}\r\n"
            f"Celeryspan-Request-Id: r{number}\r\nCeleryspan-Deadline-Ms: 2000\r\n"
            f"Celeryspan-Credential: {support.KEY}\r\nConnection: close\r\n{resumed}"
            f"Content-Length: {len(body)}\r\n\r\n{body}".encode()
        )
        answer = b""
        with contextlib.suppress(ConnectionResetError):
            while data := caller.recv(65_536):
                answer += data
    return answer


def is_framed_as_whole(answer: bytes) -> bool:
    """Whether a caller takes an answer for a success with a whole body."""
    head, found, body = answer.partition(b"\r\n\r\n")
    if not found or b" 200 " not in head[:16]:
        return False
    return b"chunked" not in head.lower() or body.endswith(b"0\r\n\r\n")


@pytest.mark.parametrize(
    ("framing", "resets"),
    [("length", False), ("chunks", False), ("none", False), ("length", True)],
    ids=["length", "chunks", "none", "reset"],
)
@pytest.mark.parametrize(
    ("path", "service", "resumed"),
    [
        ("/bookings/", "gate", ""),
        ("/notes/", "planner", ""),
        ("/drafts/", "planner", ""),
        ("/drafts/", "planner", "Last-Event-Id: 2\r\n"),
    ],
    ids=["plain", "stream", "resumable", "resumed"],
)
def test_answer_that_ends_inside_its_head_is_no_success(
    cluster: support.Cluster,
    tmp_path: pathlib.Path,
    path: str,
    service: str,
    resumed: str,
    framing: str,
    resets: bool,
) -> None:
    """Guards against a 200 with an empty body, framed as whole."""
    head = HEAD + FRAMINGS[framing]
    sizes = list_sizes(head)
    with contextlib.ExitStack() as stack:
        servers = [CuttingServer(head[:size], resets=resets).server for size in sizes]
        for size, server in zip(sizes, servers, strict=True):
            stack.callback(server.close)
            entry = sampleconfig.make_entry(service, server.address)
            cluster.store.put("servers", f"cut-at-{size}", entry)
        router = stack.enter_context(
            processes.run_router(tmp_path, str(cluster.store.address))
        )
        for number in range(2 * len(sizes)):
            assert not is_framed_as_whole(ask(router, path, resumed, number))
        reached = [server for server in servers if server.received]
        assert len(reached) > len(sizes) / 2
