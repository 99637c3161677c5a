"""Requests on cheroot, strict about where each of them ends.

cheroot reads requests leniently. Where two readers of one byte stream can disagree
about where a request ends, a caller can hide a second request inside the first and
have its answer given to someone else. Such requests are answered 400 and their
connection is closed, so that nothing after them is read.
"""

from __future__ import annotations

import json
import re
import uuid
from typing import Any

from cheroot import server as cheroot_server

from celeryspan import states

HEADER_NAME = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
DIGITS = re.compile(rb"[0-9]{1,18}")


class _SingleHeaders(dict[bytes, bytes]):
    """Refuses a second value for a header that is not a list."""

    def __setitem__(self, name: bytes, value: bytes) -> None:
        if name in self and name not in cheroot_server.comma_separated_headers:
            raise ValueError(f"Header {name.decode('latin-1')} stands twice.")
        super().__setitem__(name, value)


class _StrictHeaderReader(cheroot_server.HeaderReader):
    """Reads headers; raises ValueError for names and repeats that are ambiguous."""

    def __call__(
        self, rfile: Any, hdict: dict[bytes, bytes] | None = None
    ) -> dict[bytes, bytes]:
        headers = super().__call__(rfile, _SingleHeaders())
        target = {} if hdict is None else hdict
        target.update(headers)
        return target

    def _transform_key(self, key_name: bytes) -> bytes:
        if not HEADER_NAME.fullmatch(key_name):
            raise ValueError("Malformed header name.")
        return key_name.title()


class Request(cheroot_server.HTTPRequest):
    """One request; refuses every shape whose end is in doubt."""

    header_reader = _StrictHeaderReader()

    def read_request_headers(self) -> bool:
        """Read the headers and check the framing."""
        if not super().read_request_headers():
            return False
        problem = self._find_framing_error()
        if problem:
            self.simple_response("400 Bad Request", problem)
            return False
        if self.chunked_read:
            # The chunk reader accepts sizes such as "-1"; closing afterwards keeps
            # a remainder from being read as a request of its own.
            self.close_connection = True
        return True

    def simple_response(self, status: str, msg: str = "") -> None:
        """Answer a request that never reached the application, and close."""
        self.close_connection = True
        self.conn.has_unread_input = True
        self.sent_headers = True
        code = "malformed" if str(status).startswith("400") else "refused"
        outcome = states.Outcome.NOT_RUN.value
        error = {"code": code, "message": msg or str(status), "outcome": outcome}
        body = json.dumps({"error": {**error, "step": "read request", "peer": ""}})
        lines = [
            f"{self.server.protocol} {status}",
            "Content-Type: application/json",
            f"Content-Length: {len(body)}",
            "Connection: close",
            f"Celeryspan-Request-Id: {uuid.uuid4().hex}",
            f"Celeryspan-Outcome: {outcome}",
            f"Celeryspan-Error: {code}",
        ]
        self.conn.wfile.write(("\r\n".join(lines) + "\r\n\r\n" + body).encode())

    def truncate_response(self) -> None:
        """End the answer without its last chunk.

        The caller's HTTP library then reports an incomplete body, where a proper end
        would let half an answer pass for a whole one.
        """
        self.chunked_write = False
        self.close_connection = True

    def _find_framing_error(self) -> str:
        length = self.inheaders.get(b"Content-Length")
        coding = self.inheaders.get(b"Transfer-Encoding")
        if length is not None and coding is not None:
            return "Both Content-Length and Transfer-Encoding are given."
        if length is not None and not DIGITS.fullmatch(length):
            return "Malformed Content-Length."
        if coding is not None and coding.lower() != b"chunked":
            return "Only one Transfer-Encoding, chunked, is understood."
        if coding is not None and self.response_protocol != "HTTP/1.1":
            return "Transfer-Encoding needs HTTP/1.1."
        return ""
