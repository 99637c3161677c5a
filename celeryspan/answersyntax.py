"""Parses the lines of HTTP answers (RFC 9112) strictly.

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
    rb"HTTP/1\.([0-9]) ([1-5][0-9]{2})(?: (" + _TEXT + rb"))?" + _LINE_END
)
_FIELD_LINE = re.compile(rb"(" + _TOKEN + rb"):(" + _TEXT + rb")" + _LINE_END)
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})[\t ]*(?:;" + _TEXT + rb")?" + _LINE_END)
_LENGTH = re.compile(r"[0-9]{1,18}")

EMPTY_LINES = (b"\r\n", b"\n")
"""Lines that end a head."""

CHUNK_END = b"\r\n"
CHUNKED = "chunked"

SHOWN_BYTES_MAX = 80
"""Part of an invalid line or value that an error shows."""


class InvalidAnswer(http.client.HTTPException):
    """Bytes that are no HTTP answer, or an answer whose body has no clear end."""


def parse_status_line(line: bytes) -> tuple[int, int, str]:
    """Return the minor version, the status and the reason; raises InvalidAnswer."""
    found = _STATUS_LINE.fullmatch(line)
    if found is None:
        _raise_invalid("a status line", line)
    minor, status, reason = found.groups(b"")
    return int(minor), int(status), reason.strip().decode("latin-1")


def parse_field(line: bytes) -> tuple[str, str]:
    """Return the name and the value of a header; raises InvalidAnswer."""
    found = _FIELD_LINE.fullmatch(line)
    if found is None:
        _raise_invalid("a header field", line)
    name, value = found.groups()
    return name.decode("latin-1"), value.strip(b"\t ").decode("latin-1")


def parse_framing(length: str | None, coding: str | None) -> int | None:
    """Return the length of a body, or None if it has none.

    Parameters
    ----------
    length, coding : str or None
        Values of all fields ``Content-Length`` and ``Transfer-Encoding``.

    Raises
    ------
    InvalidAnswer
        Unless they state one length, or that the body comes in chunks, or nothing.
    """
    if coding is not None:
        if coding.lower() != CHUNKED:
            _raise_invalid("the transfer coding 'chunked'", coding)
        if length is not None:
            _raise_invalid("no length beside chunks", length)
    if length is None:
        return None
    if not _LENGTH.fullmatch(length):
        _raise_invalid("a length in digits", length)
    return int(length)


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


def _raise_invalid(expected: str, found: bytes | str) -> NoReturn:
    raise InvalidAnswer(
        f"expected {expected} in the answer, found {found[:SHOWN_BYTES_MAX]!r}"
    )
