"""Boundary for values that other systems wrote: entries, settings, headers, messages.

A parser that raises an unexpected error ends the work on all that arrived with the
malformed value. Parsers of such values therefore run in :func:`decode`, which turns any
error that a value can cause into one exception. Their callers log it and leave out the
item that contains the value.
"""

from __future__ import annotations

import contextlib
import hashlib
import json
import re
from collections.abc import Iterator, Mapping

from celeryspan import errors

MALFORMED_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)
"""Exceptions that a value of an unexpected type, size or depth can cause."""

REASON_CHARACTERS_MAX = 200

DEPTH_MAX = 64
"""Deepest nesting that is kept of a document that exceeds the parser's own limit."""

COUNT_MAX = 2**31 - 1
"""Greatest count that messages between routers can hold."""

UNSIGNED_MAX = 2**63 - 1
"""Greatest revision, version or time in milliseconds that such messages can hold."""

BITS_PER_BYTE = 8

NAME_CHARACTERS_MAX = 128
"""Longest name that is kept as it is; longer ones are abbreviated."""

NAME_START_CHARACTERS = 32
"""Characters of an abbreviated name that are kept for readers of the log."""

NAME_DIGEST_BYTES = 16

DIGITS_MAX = 18
"""Digits of the longest number in a header that is accepted; it fits 64 bits."""

_TOKEN = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)
_LONG_NUMBER = re.compile(r'("(?:[^"\\]|\\.)*")|-?\d{1001,}(?:\.\d+)?', re.DOTALL)


@contextlib.contextmanager
def decode(subject: str, key: str = "", peer: str = "") -> Iterator[None]:
    """Raise an InputError for any error that a malformed value causes.

    Parameters
    ----------
    subject : str
        What is decoded, for the message of the error.
    key, peer : str
        Attributes of the error.

    Raises
    ------
    errors.InputError
    """
    try:
        yield
    except MALFORMED_ERRORS as error:
        raise errors.InputError(
            f"malformed {subject}: {describe(error)}", key=key, peer=peer
        ) from error


def describe(error: Exception) -> str:
    """Return an exception as a short text, also if its arguments can't be printed."""
    try:
        text = repr(error)
    except MALFORMED_ERRORS:
        text = type(error).__name__
    return text[:REASON_CHARACTERS_MAX]


def parse_json(data: bytes) -> object:
    """Parse a document of which other systems wrote parts.

    Text that is not UTF-8, a number with too many digits and values that are nested too
    deeply affect only themselves: the latter two become null.

    Raises
    ------
    errors.InputError
        If the document as a whole is not JSON.
    """
    with decode("JSON"):
        text = data.decode(errors="replace")
        try:
            return json.loads(text)
        except json.JSONDecodeError:
            raise
        except (RecursionError, ValueError):
            return json.loads(_replace_long_numbers(_replace_deep_values(text)))


def parse_count(value: object, key: str) -> int:
    """Return a whole number from 0 on; greater ones than COUNT_MAX become that."""
    if type(value) is not int or value < 0:
        raise TypeError(f"expected a non-negative integer as {key}")
    return min(value, COUNT_MAX)


def parse_unsigned(value: object, key: str) -> int:
    """Return a whole number from 0 on that fits the messages between routers."""
    if type(value) is not int or not 0 <= value <= UNSIGNED_MAX:
        raise TypeError(f"expected an integer from 0 to {UNSIGNED_MAX} as {key}")
    return value


def parse_number(value: object, key: str) -> float:
    """Return a finite number from 0 on."""
    if type(value) not in (int, float):
        raise TypeError(f"expected a number as {key}")
    number = float(value)
    if not 0 <= number < float("inf"):
        raise ValueError(f"expected a finite, non-negative number as {key}")
    return number


def parse_text(value: object, key: str) -> str:
    """Return a non-empty text without control characters or unpaired surrogates."""
    if not isinstance(value, str) or not value.isprintable() or not value:
        raise TypeError(f"expected a non-empty printable text as {key}")
    value.encode()
    return value


def abbreviate_name(name: str) -> str:
    """Return a name that is not long and that no other name is abbreviated to.

    Others choose names of any length, by which state is kept for longer than the
    message that brought them.
    """
    if len(name) <= NAME_CHARACTERS_MAX:
        return name
    data = name.encode(errors="surrogatepass")
    digest = hashlib.blake2b(data, digest_size=NAME_DIGEST_BYTES)
    return f"{name[:NAME_START_CHARACTERS]}~{digest.hexdigest()}"


def parse_digits(text: str) -> int | None:
    """Return the number that a header or an event states; None if it is no number."""
    is_number = text.isascii() and text.isdecimal() and len(text) <= DIGITS_MAX
    return int(text) if is_number else None


def _replace_deep_values(text: str) -> str:
    """Replace arrays and objects below DEPTH_MAX by null."""
    parts: list[str] = []
    depth = kept_until = 0
    for token in _TOKEN.finditer(text):
        character = token.group()[0]
        if character in "[{":
            depth += 1
            if depth == DEPTH_MAX + 1:
                parts += (text[kept_until : token.start()], "null")
        elif character in "]}":
            if depth == DEPTH_MAX + 1:
                kept_until = token.end()
            depth -= 1
    return "".join([*parts, text[kept_until:]])


def _replace_long_numbers(text: str) -> str:
    return _LONG_NUMBER.sub(lambda found: found.group(1) or "null", text)


def is_larger(value: object, size_max: int) -> bool:
    """Return whether decoded JSON would take more than about a number of bytes."""
    size, waiting = 0, [value]
    while waiting:
        each = waiting.pop()
        if isinstance(each, str):
            size += len(each)
        elif isinstance(each, Mapping):
            waiting += each.keys()
            waiting += each.values()
        elif isinstance(each, list):
            waiting += each
        elif isinstance(each, int):
            size += each.bit_length() // BITS_PER_BYTE
        size += 1
        if size > size_max:
            return True
    return False
