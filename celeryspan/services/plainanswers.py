"""The answer of a plain service."""

from __future__ import annotations

import time
from collections.abc import Iterator

from celeryspan import calls, dispatch
from celeryspan.adapters import backend
from celeryspan.services import backends, runs

# A plain service that says nothing for so long is given up, in seconds. Stand
# confirmations take well under a second; nobody waits for one half a minute.
PLAIN_ANSWER_SECONDS = 30.0

# Part of a plain answer read before the caller is told that it ran. An answer that
# is cut within it becomes one clear error instead of a broken body. Nearly all
# confirmations are smaller; 256 callers at once hold 64 MiB.
BUFFER_BYTES = 262_144


class PlainAnswer:
    """The answer of a plain service; its cost is the milliseconds that it took.

    Attributes
    ----------
    head : Head
        Status and headers.
    whole : bool
        Whether the first piece is the whole body.
    """

    def __init__(
        self, run: runs.Run, call: calls.Call, adapter: backend.PlainAdapter
    ) -> None:
        self._run = run
        self._watch(call)
        try:
            adapter.send(run.link, call, run.id)
            self.head, self._pieces = adapter.receive(run.link)
            run.progress.answer()
            self.first, self.whole = self._read_first()
        except (backend.Declined, *backends.LINK_ERRORS) as error:
            raise run.fail(error) from error
        run.progress.confirm()
        if self.whole:
            run.finish(run.elapsed_milliseconds)

    def read(self) -> Iterator[bytes]:
        """Yield the body; raises AnswerLost if it is cut."""
        yield self.first
        if self.whole:
            return
        try:
            yield from self._pieces
        except backends.LINK_ERRORS as error:
            raise backend.AnswerLost(
                repr(error), step="read answer", peer=self._run.slot.server
            ) from error
        self._run.finish(self._run.elapsed_milliseconds)

    def close(self) -> None:
        """Give up what has not been read."""
        self._run.abandon(dispatch.Ending.CANCELLED, self._run.elapsed_milliseconds)

    def _watch(self, call: calls.Call) -> None:
        """Wait for the service as long as it may take.

        A call that may not be repeated is left to end even if its caller leaves: the
        service can't be told to stop, it is busy with the call all the same, and a
        repeat with the same ticket or key can be given the answer.
        """
        left = call.deadline - time.monotonic()
        backends.set_timeout(self._run.link, min(PLAIN_ANSWER_SECONDS, max(left, 0.1)))
        if not call.idempotent:
            call.presence.watch(self._run.abort_read, must_end=True)

    def _read_first(self) -> tuple[bytes, bool]:
        collected = bytearray()
        for piece in self._pieces:
            collected += piece
            if len(collected) >= BUFFER_BYTES:
                return bytes(collected), False
        return bytes(collected), True
