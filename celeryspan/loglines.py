"""Parses the log lines of several routers as log collectors and archives store them.

Stored lines may be truncated, duplicated and interleaved, and some collectors prefix
each with a timestamp and a process name. Unreadable lines are counted and skipped: a
parser that stops at the first truncated line would hide the incident behind it.
"""

from __future__ import annotations

import json
import pathlib
import re
from collections.abc import Iterable, Iterator, Mapping

import msgspec

from celeryspan import errors

LINE_PREFIX = re.compile(r"^\s*(?:[-\d.]+\s+)?(\S+)\s+$")
"""A collector's prefix before the JSON object: an optional time and a process name."""

LINE_BOUNDARY = re.compile(r"""(?<=\})(?=\s*(?:[^\s{]+\s+){0,2}\{"number")""")
"""Boundary between two lines that were joined without a newline: the end of one object
and the next line with its prefix."""


class Line(msgspec.Struct, frozen=True):
    """One logged event of a router.

    Attributes
    ----------
    at : float
        Unix time on that router's clock, in seconds; clocks differ between VMs.
    number : int
        Event number, see ``docs/events.md``.
    fields : mapping
        All fields of the line.
    """

    router: str
    at: float
    number: int
    fields: Mapping[str, object]

    @property
    def request(self) -> str:
        """Id of the request that the line refers to, or an empty string."""
        found = self.fields.get("request")
        return found if isinstance(found, str) else ""


class Log(msgspec.Struct):
    """Lines of several routers, and the number of unreadable lines."""

    lines: list[Line] = msgspec.field(default_factory=list)
    unreadable: int = 0


def read_files(paths: Iterable[str]) -> Log:
    """Return the lines of log files, sorted by time.

    A line without a process name is attributed to the router that the file is named
    after, without the file's suffix.

    Raises
    ------
    errors.InputError
        If a file cannot be read.
    """
    log = Log()
    for path in paths:
        try:
            text = pathlib.Path(path).read_text(errors="replace")
        except OSError as error:
            raise errors.InputError(
                f"expected a log file, found {error.strerror or error}", peer=path
            ) from error
        read_text(text, pathlib.Path(path).stem, log)
    log.lines = sorted(drop_duplicates(log.lines), key=lambda each: each.at)
    return log


def drop_duplicates(lines: Iterable[Line]) -> Iterator[Line]:
    """Yield each line once: collectors may deliver a line twice."""
    seen = set()
    for line in lines:
        key = (line.router, line.at, line.number, line.request)
        if key not in seen:
            seen.add(key)
            yield line


def read_text(text: str, router: str, log: Log) -> None:
    """Parse the lines of a text and append them to a log."""
    for part in split_lines(text):
        found = parse_line(part, router)
        if found is None:
            log.unreadable += 1
        else:
            log.lines.append(found)


def split_lines(text: str) -> Iterator[str]:
    """Yield the lines of a text, splitting those that were joined without a newline."""
    for line in text.splitlines():
        yield from filter(str.strip, LINE_BOUNDARY.split(line))


def parse_line(text: str, router: str) -> Line | None:
    """Return a parsed line, or None if it is unreadable."""
    start = text.find("{")
    if start < 0:
        return None
    prefix = LINE_PREFIX.match(text[:start])
    try:
        found = json.loads(text[start:])
    except ValueError:
        return None
    if not isinstance(found, dict):
        return None
    number, at = found.get("number"), found.get("timestamp")
    if type(number) is not int or not isinstance(at, int | float):
        return None
    return Line(prefix.group(1) if prefix else router, float(at), number, found)
