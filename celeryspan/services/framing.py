"""Strict request framing on top of cheroot, against request smuggling.

cheroot parses requests leniently. If two parsers of one byte stream disagree about the
end of a request, a caller can hide a second request in the first one and have its
answer delivered to another caller. Requests with ambiguous framing are answered with
status 400 and their connection is closed, so that nothing after them is read.
"""

from __future__ import annotations

import io
import json
import re
import uuid
from typing import Any

from cheroot import server as cheroot_server

from celeryspan import states
from celeryspan.decisions import requestframing

HEADER_NAME = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
CONTROL_CHARACTERS = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
REFUSAL_CODES = {"400": "malformed", "408": "too-slow"}
DIGITS = re.compile(rb"[0-9]{1,18}")


class _SingleHeaders(dict[bytes, bytes]):
    """Rejects control characters, and duplicates of headers that hold no list."""

    def __setitem__(self, name: bytes, value: bytes) -> None:
        if name in self and name not in cheroot_server.comma_separated_headers:
            raise ValueError(f"Duplicate header {name.decode('latin-1')}.")
        if CONTROL_CHARACTERS.search(value):
            raise ValueError("Control characters in a header value.")
        super().__setitem__(name, value)


class _StrictHeaderReader(cheroot_server.HeaderReader):
    """Reads headers; raises ValueError for malformed names and duplicates."""

    def __call__(
        self, rfile: Any, hdict: dict[bytes, bytes] | None = None
    ) -> dict[bytes, bytes]:
        headers = super().__call__(rfile, _SingleHeaders())
        target = {} if hdict is None else hdict
        target.update(headers)
        return target

    def _allow_header(self, key_name: bytes) -> bool:
        # The connection has sent the interim answer, before it read the body.
        return key_name != b"Expect"

    def _transform_key(self, key_name: bytes) -> bytes:
        if not HEADER_NAME.fullmatch(key_name):
            raise ValueError("Malformed header name.")
        return key_name.title()


class Request(cheroot_server.HTTPRequest):
    """One request; rejects ambiguous framing.

    Attributes
    ----------
    body : bytes
        The whole body; empty if the request has a fault.
    """

    header_reader = _StrictHeaderReader()
    body = b""

    @property
    def fault(self) -> requestframing.Fault | None:
        """Why the request is not whole, if it is not."""
        return self.conn.assembler.fault

    @property
    def fault_detail(self) -> str:
        """What is wrong with a request that has a fault."""
        return self.conn.assembler.detail

    def read_request_headers(self) -> bool:
        """Read the headers and validate the framing."""
        if not super().read_request_headers():
            return False
        problem = self._find_framing_error()
        if problem:
            self.simple_response("400 Bad Request", problem)
            return False
        if self.chunked_read:
            self.close_connection = True
        return True

    def respond(self) -> None:
        """Call the gateway, which finds the whole body or a fault here."""
        if self.fault is not None:
            self.close_connection = True
            self.conn.has_unread_input = True
        self.body = self.conn.assembler.take_body()
        self.rfile = io.BytesIO(self.body)
        self.server.gateway(self).respond()
        if self.ready:
            self.ensure_headers_sent()
        if self.chunked_write:
            self.conn.wfile.write(b"0\r\n\r\n")

    def simple_response(self, status: str, msg: str = "") -> None:
        """Answer a request that did not reach the application and close."""
        self.close_connection = True
        self.conn.has_unread_input = True
        self.sent_headers = True
        self.conn.wfile.write(format_refusal(self.server.protocol, status, msg))

    def truncate_response(self) -> None:
        """Close the connection without sending the last chunk.

        The caller's HTTP library then reports an incomplete body. With the last chunk
        the truncated answer would look complete, and so would an orderly close to a
        caller without chunks.
        """
        if not self.chunked_write:
            self.conn.reset_on_close()
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
            return "The only supported Transfer-Encoding is chunked."
        if coding is not None and self.response_protocol != "HTTP/1.1":
            return "Transfer-Encoding requires HTTP/1.1."
        assembler = self.conn.assembler
        if (int(length) if length else None, coding is not None) != (
            assembler.length,
            assembler.is_chunked,
        ):
            return "Ambiguous framing of the body."
        return ""


def format_refusal(protocol: str, status: str, message: str = "") -> bytes:
    """Return the answer to a request that did not reach the application."""
    code = REFUSAL_CODES.get(str(status)[:3], "refused")
    outcome = states.Outcome.NOT_RUN.value
    error = {"code": code, "message": message or str(status), "outcome": outcome}
    body = json.dumps({"error": {**error, "step": "read request", "peer": ""}})
    lines = [
        f"{protocol} {status}",
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
        "Connection: close",
        f"Celeryspan-Request-Id: {uuid.uuid4().hex}",
        f"Celeryspan-Outcome: {outcome}",
        f"Celeryspan-Error: {code}",
    ]
    return ("\r\n".join(lines) + "\r\n\r\n" + body).encode()
