"""The answer of a plain service."""

from __future__ import annotations

from collections.abc import Iterator

from celeryspan import calls, dispatch
from celeryspan.adapters import backend
from celeryspan.services import backends, runs

# Maximum time without data from a plain service. Stand confirmations take well under a
# second, and no caller waits half a minute for one.
PLAIN_ANSWER_TIMEOUT_SECONDS = 30.0

# Part of a plain answer that is buffered before the headers are sent. If the connection
# fails within it, the caller gets an error instead of a truncated body. Nearly all
# confirmations are smaller; 256 concurrent calls buffer at most 64 MiB.
BUFFER_BYTES = 262_144


class PlainAnswer:
    """The answer of a plain service; its cost is its duration in milliseconds.

    Attributes
    ----------
    head : Head
        Status and headers.
    first_part : bytes
        The buffered beginning of the body.
    is_complete : bool
        Whether ``first_part`` is the whole body.
    """

    def __init__(
        self, run: runs.Run, call: calls.Call, adapter: backend.PlainAdapter
    ) -> None:
        self._run = run
        self._set_limits(call)
        try:
            adapter.send(run.link, call, run.id)
            self.head, self._pieces = adapter.receive(run.link)
            run.progress.answer()
            self.first_part, self.is_complete = self._read_first_part()
        except (backend.Declined, *backends.LINK_ERRORS) as error:
            raise run.fail(error) from error
        run.progress.confirm()
        if self.is_complete:
            run.finish(run.elapsed_milliseconds)

    def read(self) -> Iterator[bytes]:
        """Yield the body; raises AnswerLost if the connection fails."""
        yield self.first_part
        if self.is_complete:
            return
        try:
            yield from self._pieces
        except backends.LINK_ERRORS as error:
            raise backend.AnswerLost(
                repr(error), step="read answer", peer=self._run.slot.server
            ) from error
        self._run.finish(self._run.elapsed_milliseconds)

    def close(self) -> None:
        """Discard the unread part of the body and end the run."""
        self._run.abandon(dispatch.Ending.CANCELLED, self._run.elapsed_milliseconds)

    def _set_limits(self, call: calls.Call) -> None:
        """Set the deadline, and let calls that are not idempotent run to their end.

        Such a call continues even if its caller disconnects: plain services cannot
        cancel a call, so the service stays busy anyway, and the answer can be returned
        to a repeat with the same ticket or key.
        """
        backends.set_deadline(
            self._run.link, call.deadline, PLAIN_ANSWER_TIMEOUT_SECONDS
        )
        if not call.idempotent:
            call.cancellation.on_cancel(self._run.abort_read, only_on_abort=True)

    def _read_first_part(self) -> tuple[bytes, bool]:
        collected = bytearray()
        for piece in self._pieces:
            collected += piece
            if len(collected) >= BUFFER_BYTES:
                return bytes(collected), False
        return bytes(collected), True
