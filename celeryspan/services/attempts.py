"""One attempt of a call at one backend server, and its answer."""

from __future__ import annotations

import time
from collections.abc import Iterator

from celeryspan import calls, dispatch, errors, events, ids
from celeryspan.adapters import backend
from celeryspan.decisions import outcomes, retries
from celeryspan.services import backends, buffers

# Connections tried in a row, without a token between them, before a stream is given
# up. With PROGRESS_SECONDS each, an engine has 20 s to go on.
RESUMES_MAX = 4
RESUME_PAUSE_SECONDS = 0.2

# A plain service that says nothing for so long is given up, in seconds. Stand
# confirmations take well under a second; nobody waits for one half a minute.
PLAIN_ANSWER_SECONDS = 30.0

# Part of a plain answer read before the caller is told that it ran. An answer that
# is cut within it becomes one clear error instead of a broken body. Nearly all
# confirmations are smaller; 256 callers at once hold 64 MiB.
BUFFER_BYTES = 262_144

# Cost of a prompt token that the engine had to read, against one that it writes:
# engines read prompts at least ten times as fast.
PROMPT_TOKEN_COST = 0.1


class Failure(errors.CeleryspanError):
    """An attempt failed; ``sent`` says what is known about its bytes."""

    def __init__(self, cause: Exception, sent: retries.Sent, peer: str) -> None:
        text = getattr(cause, "message", "") or repr(cause)
        super().__init__(text, step=getattr(cause, "step", "") or "send", peer=peer)
        self.sent = sent


class Run:
    """A slot, a link and a request on its way.

    Attributes
    ----------
    name : RequestId
        The id under which the backend server knows this attempt.
    ended : bool
        Whether the slot has been given back.
    """

    def __init__(
        self,
        pool: backends.Backends,
        slot: dispatch.Slot,
        progress: outcomes.Progress,
        name: ids.RequestId,
    ) -> None:
        self.pool = pool
        self.slot = slot
        self.progress = progress
        self.name = name
        self.link: backend.Link | None = None
        self._started = time.monotonic()
        self.ended = False

    def open(self, call: calls.Call) -> None:
        """Open a link; nothing is sent yet. Raises Failure."""
        if call.presence.left or time.monotonic() >= call.deadline:
            # A process that was stopped and goes on finds its clock moved: the caller
            # has been given up long ago and must not be surprised by a late run.
            self.progress.release()
            code = "caller-left" if call.presence.left else "deadline-passed"
            raise errors.NotRun(
                "nobody waits for the answer any more",
                code=code,
                status=503,
                retry_after=1.0,
                step="send",
            )
        try:
            self.link = self.pool.connect(self.slot.server, fresh=not call.idempotent)
        except errors.NotRun as error:
            self.end(dispatch.Ending.FAILED, 0.0)
            self.progress.release()
            raise Failure(error, retries.Sent.NOTHING, self.slot.server) from error

    def send(self, call: calls.Call) -> None:
        """Take the last look, then let the first byte go. Raises Failure."""
        try:
            self.slot.use()
        except errors.NotRun as error:
            self.abandon(dispatch.Ending.CANCELLED)
            self.progress.release()
            raise Failure(error, retries.Sent.NOTHING, self.slot.server) from error
        self.progress.send()
        events.log(
            events.Event.REQUEST_SENT,
            request=call.request,
            run=self.name,
            server=self.slot.server,
        )
        call.presence.watch(self.wake)

    def wake(self) -> None:
        """Wake the thread that reads the answer; its caller has left."""
        if self.link is not None:
            backends.abort(self.link)

    def fail(self, cause: Exception) -> Failure:
        """Settle a failure after the first byte and return what to raise."""
        declined = isinstance(cause, backend.Declined)
        ending = dispatch.Ending.FAILED
        if declined:
            self.progress.decline()
            ending = dispatch.Ending.LEAVING
        else:
            self.progress.lose()
            if isinstance(cause, backends.TIMEOUT_ERRORS):
                ending = dispatch.Ending.TIMED_OUT
        self.abandon(ending)
        sent = retries.Sent.REFUSED if declined else retries.Sent.MAYBE
        return Failure(cause, sent, self.slot.server)

    def abandon(self, ending: dispatch.Ending, cost: float = 0.0) -> None:
        """Close the link, whose answer nobody reads to its end, and end the slot."""
        if self.link is not None:
            self.link.close()
        self.end(ending, cost)

    def finish(self, cost: float) -> None:
        """Keep the link, whose answer has been read to its end, and end the slot."""
        if self.link is not None:
            self.pool.keep(self.link)
        self.end(dispatch.Ending.ANSWERED, cost)

    def end(self, ending: dispatch.Ending, cost: float) -> None:
        """Give the slot back, once."""
        if not self.ended:
            self.ended = True
            self.slot.end(ending, cost)

    @property
    def seconds(self) -> float:
        """Time since the slot was given."""
        return time.monotonic() - self._started


class PlainAnswer:
    """The answer of a plain service; its cost is the seconds that it took.

    Attributes
    ----------
    head : Head
        Status and headers.
    whole : bool
        Whether the first piece is the whole body.
    """

    def __init__(
        self, run: Run, call: calls.Call, adapter: backend.PlainAdapter
    ) -> None:
        self._run = run
        self._watch(call)
        try:
            adapter.send(run.link, call, run.name)
            self.head, self._pieces = adapter.receive(run.link)
            run.progress.answer()
            self.first, self.whole = self._read_first()
        except (backend.Declined, *backends.LINK_ERRORS) as error:
            raise run.fail(error) from error
        run.progress.confirm()
        if self.whole:
            run.finish(run.seconds)

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
        self._run.finish(self._run.seconds)

    def close(self) -> None:
        """Give up what has not been read."""
        self._run.abandon(dispatch.Ending.CANCELLED, self._run.seconds)

    def _watch(self, call: calls.Call) -> None:
        """Wait for the service as long as it may take.

        A call that may not be repeated is left to end even if its caller leaves: the
        service can't be told to stop, it is busy with the call all the same, and a
        repeat with the same ticket or key can be given the answer.
        """
        left = call.deadline - time.monotonic()
        backends.set_timeout(self._run.link, min(PLAIN_ANSWER_SECONDS, max(left, 0.1)))
        if not call.idempotent:
            call.presence.watch(lambda: None)

    def _read_first(self) -> tuple[bytes, bool]:
        collected = bytearray()
        for piece in self._pieces:
            collected += piece
            if len(collected) >= BUFFER_BYTES:
                return bytes(collected), False
        return bytes(collected), True


class ModelAnswer:
    """The stream of a model engine, followed over as many links as it takes."""

    def __init__(
        self, run: Run, call: calls.ChatCall, adapter: backend.ModelAdapter
    ) -> None:
        self._run = run
        self._call = call
        self._adapter = adapter
        self._offset = 0
        self._closed = False
        self._lost = False
        self._pieces = self._follow()
        try:
            adapter.send(run.link, call, run.name)
            first = next(self._pieces)
        except backends.LINK_ERRORS as error:
            raise run.fail(error) from error
        except (backend.Declined, backend.UnknownStream) as error:
            raise run.fail(error) from error
        except backend.AnswerLost as error:
            failure = run.fail(error)
            self._cancel()
            raise failure from error
        run.progress.answer()
        run.progress.confirm()
        self._first = first
        self._buffer: buffers.StreamBuffer | None = None

    def read(self) -> Iterator[backend.Tokens | backend.Finished]:
        """Yield the stream; raises AnswerLost if it can't be brought to its end."""
        yield self._first
        if isinstance(self._first, backend.Finished):
            return
        self._buffer = buffers.StreamBuffer(self._pieces)
        try:
            yield from self._buffer.read()
        except (backend.AnswerLost, backend.UnknownStream) as error:
            self._lost = not self._call.presence.left
            raise backend.AnswerLost(
                error.message, step=error.step, peer=error.peer
            ) from error

    def close(self) -> None:
        """Stop the engine and give the slot back, unless the stream is whole."""
        self._closed = True
        if self._buffer is not None and not self._run.ended:
            self._run.wake()
            self._buffer.close()
        if not self._run.ended:
            ending = dispatch.Ending.FAILED if self._lost else dispatch.Ending.CANCELLED
            self._run.abandon(ending, float(self._offset))
            self._cancel()

    def _follow(self) -> Iterator[backend.Tokens | backend.Finished]:
        failures = 0
        while True:
            try:
                for piece in self._adapter.receive(
                    self._run.link, self._run.name, self._offset
                ):
                    failures = 0
                    self._count(piece)
                    yield piece
                    if isinstance(piece, backend.Finished):
                        return
                raise backend.AnswerLost("ended early", step="read answer")
            except (backend.AnswerLost, *backends.LINK_ERRORS) as error:
                failures += 1
                self._resume(error, failures)

    def _count(self, piece: backend.Tokens | backend.Finished) -> None:
        if isinstance(piece, backend.Tokens):
            self._offset += len(piece.texts)
            self._run.slot.progress(len(piece.texts))
            return
        read = max(piece.prompt_tokens - piece.cached_tokens, 0)
        self._run.finish(piece.tokens + PROMPT_TOKEN_COST * read)

    def _resume(self, error: Exception, failures: int) -> None:
        """Open a new link and ask for the rest of the stream.

        A device between router and engine may forget a connection: it falls silent
        for good while new ones work. The engine still runs the request, so that its
        stream is asked for from the last offset on, and nothing runs twice.
        """
        server = self._run.slot.server
        while True:
            self._run.link.close()
            if self._is_unwanted() or failures >= RESUMES_MAX:
                raise backend.AnswerLost(
                    f"stream lost: {error!r}", step="read answer", peer=server
                ) from error
            if failures > 1:
                time.sleep(RESUME_PAUSE_SECONDS)
            try:
                self._run.link = self._run.pool.connect(server, fresh=True)
                if self._is_unwanted():
                    continue
                self._adapter.resume(self._run.link, self._run.name, self._offset)
            except (errors.NotRun, *backends.LINK_ERRORS) as again:
                error, failures = again, failures + 1
                continue
            events.log(
                events.Event.STREAM_RESUMED,
                run=self._run.name,
                server=server,
                offset=self._offset,
            )
            return

    def _is_unwanted(self) -> bool:
        return self._closed or self._call.presence.left

    def _cancel(self) -> None:
        """Tell the engine to stop; if it can't be told, its own end frees the slot."""
        try:
            link = self._run.pool.connect(self._run.slot.server, fresh=True)
        except errors.NotRun:
            return
        try:
            self._adapter.cancel(link, self._run.name)
            self._run.pool.keep(link)
        except backends.LINK_ERRORS:
            link.close()
