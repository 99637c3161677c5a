"""Writes log lines to a file in batches, on a background thread.

A write to a file releases the global interpreter lock, and the writing thread then
competes with all running threads to acquire it again. With four lines a request,
synchronous writes took more than half of the time that a router spent on a plain call.
"""

from __future__ import annotations

import atexit
import collections
import threading
import time
from typing import IO

# Maximum time before a line is written, in seconds; a process that is killed loses at
# most the lines of this period.
FLUSH_INTERVAL_SECONDS = 0.05

# Maximum number of queued lines and of their characters. Further lines are dropped and
# counted, so that a stalled reader of the log neither exhausts memory nor blocks
# threads that log.
QUEUED_LINES_MAX = 20_000
QUEUED_CHARACTERS_MAX = 8_000_000

DROPPED_LINE = '{"number":108,"message_type":"log_lines_dropped","count":%d}\n'


class LogWriter:
    """A text file whose writes are queued and never block.

    Parameters
    ----------
    file : IO[str]
        File that the background thread writes the lines to.
    """

    def __init__(self, file: IO[str]) -> None:
        self._file = file
        self._lines: collections.deque[str] = collections.deque()
        self._lock = threading.Lock()
        self._dropped = 0
        self._characters = 0
        self._has_lines = threading.Event()
        threading.Thread(target=self._run, name="log", daemon=True).start()
        atexit.register(self.write_queued)

    def write(self, text: str) -> int:
        """Queue a line; raises TypeError for bytes, as text files do."""
        if not isinstance(text, str):
            raise TypeError(f"expected str, found {type(text).__name__}")
        if (
            len(self._lines) >= QUEUED_LINES_MAX
            or self._characters > QUEUED_CHARACTERS_MAX
        ):
            self._dropped += 1
        else:
            self._lines.append(text)
            self._characters += len(text)
            if not self._has_lines.is_set():
                self._has_lines.set()
        return len(text)

    def flush(self) -> None:
        """Do nothing: lines are written within FLUSH_INTERVAL_SECONDS."""

    def write_queued(self) -> None:
        """Write all queued lines."""
        with self._lock:
            lines = [self._lines.popleft() for _ in range(len(self._lines))]
            self._characters = 0
            if self._dropped:
                dropped, self._dropped = self._dropped, 0
                lines.append(DROPPED_LINE % dropped)
            if lines and not self._file.closed:
                self._file.write("".join(lines))
                self._file.flush()

    def _run(self) -> None:
        while not self._file.closed:
            self._has_lines.wait()
            time.sleep(FLUSH_INTERVAL_SECONDS)
            self._has_lines.clear()
            self.write_queued()
