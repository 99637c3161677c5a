"""Reads the log lines of many routers, as they come out of collectors and archives.

Lines are cut, doubled and interleaved there, and some collectors write a time and a
name before each. What can't be read is counted and left out: a reader that stops at the
first cut line tells nothing about the incident behind it.
"""

from __future__ import annotations

import json
import pathlib
import re
from collections.abc import Iterable, Iterator, Mapping

import msgspec

from celeryspan import errors

PREFIX = re.compile(r"^\s*(?:[-\d.]+\s+)?(\S+)\s+$")
"""A time, if there is one, and the name of the process, before the object."""

BORDER = re.compile(r"""(?<=\})(?=\s*(?:[^\s{]+\s+){0,2}\{"number")""")
"""Where one object ends and the next line begins, with what stands before it."""


class Line(msgspec.Struct, frozen=True):
    """One event as a router wrote it.

    Attributes
    ----------
    at : float
        Time of day on that router's clock, in seconds; clocks differ between VMs.
    number : int
        Of the event, see ``docs/events.md``.
    fields : mapping
        What the line says beside these.
    """

    router: str
    at: float
    number: int
    fields: Mapping[str, object]

    @property
    def request(self) -> str:
        """Id of the request that the line is about, or the empty text."""
        found = self.fields.get("request")
        return found if isinstance(found, str) else ""


class Log(msgspec.Struct):
    """Lines of several routers, and how many could not be read."""

    lines: list[Line] = msgspec.field(default_factory=list)
    unreadable: int = 0


def read_files(paths: Iterable[str]) -> Log:
    """Return the lines of log files, in order of their times.

    A file's name without its ending names the router where the lines don't.

    Raises
    ------
    errors.InputError
        If a file can't be read.
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
    log.lines = sorted(drop_doubles(log.lines), key=lambda each: each.at)
    return log


def drop_doubles(lines: Iterable[Line]) -> Iterator[Line]:
    """Yield each line once; collectors deliver some twice."""
    seen = set()
    for line in lines:
        key = (line.router, line.at, line.number, line.request)
        if key not in seen:
            seen.add(key)
            yield line


def read_text(text: str, router: str, log: Log) -> None:
    """Add the lines of one text to a log."""
    for part in split(text):
        found = parse(part, router)
        if found is None:
            log.unreadable += 1
        else:
            log.lines.append(found)


def split(text: str) -> Iterator[str]:
    """Yield what may be a line; two that run into each other become two."""
    for line in text.splitlines():
        yield from filter(str.strip, BORDER.split(line))


def parse(text: str, router: str) -> Line | None:
    """Return one line, or None if it can't be read."""
    place = text.find("{")
    if place < 0:
        return None
    named = PREFIX.match(text[:place])
    try:
        found = json.loads(text[place:])
    except ValueError:
        return None
    if not isinstance(found, dict):
        return None
    number, at = found.get("number"), found.get("timestamp")
    if type(number) is not int or not isinstance(at, int | float):
        return None
    return Line(named.group(1) if named else router, float(at), number, found)
