"""Writes log lines on a thread of its own, many at once.

A write to a file gives up the interpreter's lock, and a thread that then wants it back
waits behind all others that run. With four lines a request this was more than half of
the time that a router spent on a plain call.
"""

from __future__ import annotations

import atexit
import collections
import threading
import time
from typing import IO

# How long a line waits at most before it is written, in seconds: what a process that
# is killed without warning may lose.
FLUSH_SECONDS = 0.05

# Lines that wait at most, about 8 MB. Further ones are dropped and counted: a reader of
# the log that stops must neither fill the memory nor stop the threads that log.
LINES_MAX = 20_000


DROPPED_LINE = '{"number":108,"message_type":"log_lines_dropped","count":%d}\n'


class LogWriter:
    """A text file whose writes return at once.

    Parameters
    ----------
    file : IO[str]
        Where the lines go in the end.
    """

    def __init__(self, file: IO[str]) -> None:
        self._file = file
        self._lines: collections.deque[str] = collections.deque()
        self._lock = threading.Lock()
        self._dropped = 0
        self._some = threading.Event()
        threading.Thread(target=self._run, name="log", daemon=True).start()
        atexit.register(self.write_out)

    def write(self, text: str) -> int:
        """Take a line; raises TypeError for bytes, as text files do."""
        if not isinstance(text, str):
            raise TypeError("expected text")
        if len(self._lines) >= LINES_MAX:
            self._dropped += 1
        else:
            self._lines.append(text)
            if not self._some.is_set():
                self._some.set()
        return len(text)

    def flush(self) -> None:
        """Do nothing: lines are written within FLUSH_SECONDS."""

    def write_out(self) -> None:
        """Write all lines that wait."""
        with self._lock:
            lines = [self._lines.popleft() for _ in range(len(self._lines))]
            if self._dropped:
                dropped, self._dropped = self._dropped, 0
                lines.append(DROPPED_LINE % dropped)
            if lines and not self._file.closed:
                self._file.write("".join(lines))
                self._file.flush()

    def _run(self) -> None:
        while not self._file.closed:
            self._some.wait()
            time.sleep(FLUSH_SECONDS)
            self._some.clear()
            self.write_out()
