"""What a case writes down, and how it ends."""

from __future__ import annotations

import os
import pathlib
import sys
import tempfile
import threading
import time
import traceback
from collections.abc import Callable

HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case couldn't run: it says nothing of the rule."""


class Record:
    """The record of one run of a case."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._lines: list[str] = []
        self._began = time.monotonic()

    def note(self, text: str) -> None:
        """Write a line with the seconds since the start."""
        with self._lock:
            self._lines.append(f"{time.monotonic() - self._began:8.3f} {text}")

    def save(self, path: pathlib.Path) -> None:
        """Write all lines to a file."""
        with self._lock:
            path.write_text("\n".join(self._lines) + "\n")


def run_case(
    folder: pathlib.Path, play: Callable[[Record, pathlib.Path, bool], bool]
) -> None:
    """Play a case, write its record and exit with the status that the issue names.

    Parameters
    ----------
    folder : Path
        The folder of the case, in which ``record.txt`` is written.
    play : callable
        Called with the record, a temporary folder and whether to make the trouble;
        returns whether the rule held.
    """
    record = Record()
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note(f"TROUBLE={int(has_trouble)}")
    try:
        with tempfile.TemporaryDirectory() as temporary:
            held = play(record, pathlib.Path(temporary), has_trouble)
        status = HELD if held else BROKEN
    except CannotRun as error:
        record.note(f"the case could not run: {error}")
        status = NOT_RUN
    except Exception:
        record.note(f"the case could not run: {traceback.format_exc()}")
        status = NOT_RUN
    record.note(f"exit {status}")
    record.save(folder / "record.txt")
    print(record._lines[-2])
    print(record._lines[-1])
    sys.stdout.flush()
    os._exit(status)
