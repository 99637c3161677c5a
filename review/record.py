"""The record of a case: what was sent, answered and run, in order of time."""

from __future__ import annotations

import pathlib
import threading
import time


class Record:
    """Collects lines with the seconds since the start of the case."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._began = time.monotonic()
        self._lines: list[str] = []

    def add(self, text: str) -> None:
        """Add a line."""
        now = time.monotonic() - self._began
        with self._lock:
            self._lines.append(f"{now:9.3f} s  {text}")

    def write(self, path: pathlib.Path) -> None:
        """Write all lines to a file."""
        with self._lock:
            path.write_text("\n".join(self._lines) + "\n")
