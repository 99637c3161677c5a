"""The token stream of a model engine, resumed after connection failures."""

from __future__ import annotations

import time
from collections.abc import Iterator

from celeryspan import calls, dispatch, errors, events, states
from celeryspan.adapters import backend, prefix
from celeryspan.services import backends, buffers, runs

# Maximum number of consecutive connections without a token before a stream is
# abandoned. With READ_TIMEOUT_SECONDS each, an engine has 20 s to continue.
RESUME_ATTEMPTS_MAX = 4
RESUME_PAUSE_SECONDS = 0.2

# Cost of an uncached prompt token relative to a generated token: engines read prompts
# at least ten times as fast as they generate.
PROMPT_TOKEN_COST = 0.1


class ModelAnswer:
    """The stream of a model engine, read over one or more connections."""

    def __init__(
        self, run: runs.Run, call: calls.ChatCall, adapter: backend.ModelAdapter
    ) -> None:
        self._run = run
        self._call = call
        self._adapter = adapter
        self._offset = 0
        self._closed = False
        self._failed = False
        self._pieces = self._receive()
        try:
            self._limit_reading()
            adapter.send(run.link, call, run.id)
            first = next(self._pieces)
        except backends.LINK_ERRORS as error:
            raise run.fail(error) from error
        except (backend.Declined, backend.StreamRefused) as error:
            raise run.fail(error) from error
        except backend.AnswerLost as error:
            failure = run.fail(error)
            self._cancel()
            raise failure from error
        self._confirm()
        self._first = first
        self._buffer: buffers.StreamBuffer | None = None

    def read(self) -> Iterator[backend.Tokens | backend.Finished]:
        """Yield the stream; raises AnswerLost if it cannot be completed."""
        yield self._first
        if isinstance(self._first, backend.Finished):
            return
        self._buffer = buffers.StreamBuffer(self._pieces)
        try:
            yield from self._buffer.read()
        except (backend.AnswerLost, backend.StreamRefused) as error:
            self._failed = not self._call.cancellation.caller_left
            raise backend.AnswerLost(
                error.message, step=error.step, peer=error.peer
            ) from error

    def close(self) -> None:
        """Cancel the run and release its slot, unless the stream is complete."""
        self._closed = True
        if self._buffer is not None and not self._run.ended:
            self._run.abort_read()
            self._buffer.close()
        if not self._run.ended:
            ending = (
                dispatch.Ending.FAILED if self._failed else dispatch.Ending.CANCELLED
            )
            self._run.abandon(ending, float(self._offset))
            self._cancel()

    def _receive(self) -> Iterator[backend.Tokens | backend.Finished]:
        failures = 0
        while True:
            try:
                for piece in self._adapter.receive(
                    self._run.link, self._run.id, self._offset
                ):
                    failures = 0
                    self._record(piece)
                    yield piece
                    if isinstance(piece, backend.Finished):
                        return
                raise backend.AnswerLost(
                    "the stream ended before its last line", step="read answer"
                )
            except (backend.AnswerLost, *backends.LINK_ERRORS) as error:
                failures += 1
                self._resume(error, failures)

    def _record(self, piece: backend.Tokens | backend.Finished) -> None:
        if isinstance(piece, backend.Tokens):
            self._offset += len(piece.texts)
            self._run.slot.progress(len(piece.texts))
            self._run.observation.record_tokens()
            return
        self._confirm()
        read = max(piece.prompt_tokens - piece.cached_tokens, 0)
        self._run.slot.note_cached(piece.cached_tokens // prefix.BLOCK_TOKENS)
        self._run.finish(piece.tokens + PROMPT_TOKEN_COST * read)

    def _resume(self, error: Exception, failures: int) -> None:
        """Open a new connection and request the remainder of the stream.

        A network device may drop the state of a connection, which then stays silent
        while new connections work. The engine still runs the request, so its stream is
        requested from the last offset and nothing runs twice.
        """
        server = self._run.slot.server
        while True:
            self._run.link.close()
            if self._is_cancelled() or failures >= RESUME_ATTEMPTS_MAX:
                raise backend.AnswerLost(
                    f"stream lost: {error!r}", step="read answer", peer=server
                ) from error
            if failures > 1:
                time.sleep(RESUME_PAUSE_SECONDS)
            try:
                self._run.link = self._run.pool.connect(server, fresh=True)
                if self._is_cancelled():
                    continue
                self._limit_reading()
                self._adapter.resume(self._run.link, self._run.id, self._offset)
            except (errors.NotRun, *backends.LINK_ERRORS) as again:
                error, failures = again, failures + 1
                continue
            events.log(
                events.Event.STREAM_RESUMED,
                run=self._run.id,
                server=server,
                offset=self._offset,
            )
            return

    def _limit_reading(self) -> None:
        """Bound the time of the answer on the present connection."""
        backends.set_deadline(
            self._run.link, self._call.deadline, backends.READ_TIMEOUT_SECONDS
        )

    def _confirm(self) -> None:
        progress = self._run.progress
        if progress.outcome is not states.Outcome.RAN:
            progress.answer()
            progress.confirm()

    def _is_cancelled(self) -> bool:
        return self._closed or self._call.cancellation.is_cancelled

    def _cancel(self) -> None:
        """Cancel the run on the engine; if that fails, the slot is freed at its end."""
        try:
            link = self._run.pool.connect(self._run.slot.server, fresh=True)
        except errors.NotRun:
            return
        try:
            self._adapter.cancel(link, self._run.id)
            self._run.pool.release(link)
        except backends.LINK_ERRORS:
            link.close()
