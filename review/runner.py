"""Runs a case: plays it, writes its record and returns the exit status."""

from __future__ import annotations

import pathlib
import signal
import sys
from collections.abc import Callable

import record

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

Play = Callable[[record.Record, bool], bool]
"""Plays a case, with its disruption or without; returns whether the rule held."""


def run(folder: pathlib.Path, play: Play) -> int:
    """Play a case; the argument ``0`` leaves its disruption out."""
    # The processes of the case are ended also if it is stopped from outside.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    log = record.Record()
    has_trouble = sys.argv[1:] != ["0"]
    try:
        return HELD if play(log, has_trouble) else BROKEN
    except (OSError, TimeoutError) as error:
        log.add(f"the case couldn't run: {error!r}")
        return COULD_NOT_RUN
    finally:
        log.write(folder / "record.txt")
