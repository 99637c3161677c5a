"""A bounded buffer between an engine's stream and the caller's connection."""

from __future__ import annotations

import collections
import threading
from collections.abc import Iterator

from celeryspan.adapters import backend

# Maximum text buffered for one caller. At about five bytes per token nearly every
# answer fits, so a slow caller does not occupy the engine's slot after the engine has
# finished. 256 streams buffer at most 64 MiB.
BUFFER_BYTES = 262_144

Piece = backend.Tokens | backend.Finished


class StreamBuffer:
    """Reads a stream on a separate thread and buffers it for the caller.

    Without the buffer a caller with a slow connection blocks the reading of its stream,
    and the engine's slot stays occupied while other requests wait for it.

    Parameters
    ----------
    pieces : iterator
        The stream; its exceptions are raised to the reader.
    limit : int
        Bytes of buffered text at which reading pauses.
    """

    def __init__(self, pieces: Iterator[Piece], limit: int = BUFFER_BYTES) -> None:
        self._pieces = pieces
        self._limit = limit
        self._changed = threading.Condition()
        self._pending: collections.deque[Piece] = collections.deque()
        self._bytes = 0
        self._ended = False
        self._closed = False
        self._error: Exception | None = None
        self._thread = threading.Thread(
            target=self._read_stream, name="stream", daemon=True
        )
        self._thread.start()

    def read(self) -> Iterator[Piece]:
        """Yield the stream; all buffered tokens are merged into one piece."""
        while (piece := self._next_piece()) is not None:
            yield piece

    def close(self) -> None:
        """Discard unread pieces and wait for the thread.

        The engine's link must be closed or aborted first; otherwise the thread may
        block on it.
        """
        with self._changed:
            self._closed = True
            self._changed.notify_all()
        self._thread.join()

    def _next_piece(self) -> Piece | None:
        with self._changed:
            self._changed.wait_for(lambda: self._pending or self._ended)
            if not self._pending:
                if self._error is not None:
                    raise self._error
                return None
            pieces = list(self._pending)
            if isinstance(pieces[0], backend.Finished):
                self._pending.clear()
                return pieces[0]
            return self._merge_tokens(pieces)

    def _merge_tokens(self, pieces: list[Piece]) -> backend.Tokens:
        texts: list[str] = []
        for piece in pieces:
            if isinstance(piece, backend.Finished):
                break
            texts.extend(piece.texts)
            self._pending.popleft()
        self._bytes = 0
        self._changed.notify_all()
        return backend.Tokens(pieces[0].offset, tuple(texts))

    def _read_stream(self) -> None:
        try:
            for piece in self._pieces:
                if not self._append(piece):
                    return
        except Exception as error:
            self._error = error
        finally:
            with self._changed:
                self._ended = True
                self._changed.notify_all()

    def _append(self, piece: Piece) -> bool:
        """Wait for space and append a piece; returns False after ``close``."""
        with self._changed:
            self._changed.wait_for(lambda: self._bytes < self._limit or self._closed)
            if self._closed:
                return False
            self._pending.append(piece)
            if isinstance(piece, backend.Tokens):
                self._bytes += sum(len(text.encode()) for text in piece.texts)
            self._changed.notify_all()
            return True
