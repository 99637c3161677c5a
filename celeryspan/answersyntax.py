"""Checks HTTP answers against RFC 9112, where ``http.client`` is lenient.

``http.client`` ends the headers at a line that is no field, and takes a length or a
transfer coding that it cannot read for none at all. The body then lasts until the
connection ends, and whatever has arrived by then looks complete.
"""

from __future__ import annotations

import http.client
import re
from typing import NoReturn

_TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
_TEXT = rb"[\t -~\x80-\xff]*"
_LINE_END = rb"\r?\n"

_STATUS_LINE = re.compile(
    rb"HTTP/1\.[0-9] [1-5][0-9]{2}(?: " + _TEXT + rb")?" + _LINE_END
)
_FIELD_LINE = re.compile(_TOKEN + rb":" + _TEXT + _LINE_END)
_EMPTY_LINE = re.compile(_LINE_END)
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})[\t ]*(?:;" + _TEXT + rb")?" + _LINE_END)
_LENGTH = re.compile(r"[\t ]*[0-9]{1,18}[\t ]*")

CHUNK_END = b"\r\n"

SHOWN_BYTES_MAX = 80
"""Part of an invalid line or value that an error shows."""


class InvalidAnswer(http.client.HTTPException):
    """Bytes that are no HTTP answer, or an answer whose body has no clear end."""


class HeadChecker:
    """Checks the lines of one head, and of the interim answers before it."""

    def __init__(self) -> None:
        self._is_in_fields = False

    def check(self, line: bytes) -> None:
        """Check the next line; raises InvalidAnswer."""
        if not self._is_in_fields:
            if not _STATUS_LINE.fullmatch(line):
                _raise_invalid("a status line", line)
            self._is_in_fields = True
        elif _EMPTY_LINE.fullmatch(line):
            self._is_in_fields = False
        elif not _FIELD_LINE.fullmatch(line):
            _raise_invalid("a header field", line)


def check_framing(answer: http.client.HTTPResponse) -> None:
    """Check what the headers of an answer say of the end of its body.

    Raises
    ------
    InvalidAnswer
        Unless they state at most one length, or that the body comes in chunks.
    """
    length = answer.getheader("Content-Length")
    coding = answer.getheader("Transfer-Encoding")
    if length is not None and coding is not None:
        _raise_invalid("a length or a transfer coding", (length, coding))
    if length is not None and not _LENGTH.fullmatch(length):
        _raise_invalid("a length in digits", length)
    if coding is not None and (coding.lower() != "chunked" or answer.version < 11):
        _raise_invalid("the transfer coding 'chunked' of HTTP/1.1", coding)


def parse_chunk_size(line: bytes) -> int:
    """Return the size in the line before a chunk; raises InvalidAnswer."""
    found = _CHUNK_LINE.fullmatch(line)
    if found is None:
        _raise_invalid("the size of a chunk", line)
    return int(found[1], 16)


def check_chunk_end(data: bytes) -> None:
    """Check what follows the data of a chunk; raises InvalidAnswer."""
    if data != CHUNK_END:
        _raise_invalid("the end of a chunk", data)


def _raise_invalid(expected: str, found: object) -> NoReturn:
    raise InvalidAnswer(
        f"expected {expected} in the answer, found {found!r:.{SHOWN_BYTES_MAX}}"
    )
