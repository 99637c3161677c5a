"""Adapter for model engines."""

from __future__ import annotations

import json
from collections.abc import Iterator

from celeryspan import calls, events, httpconnections, ids, states
from celeryspan.adapters import backend, plain

# Far above the few short tokens that a line holds.
LINE_BYTES_MAX = 1_048_576

# Response of an engine that was ordered to load another model in the meantime.
NOT_LOADED_STATUS = 409
NOT_LOADED = "model not loaded"


@backend.register(states.ServiceKind.MODEL)
class ModelEngine:
    """Client for the streaming protocol of the engines."""

    def send(
        self, connection: backend.Connection, call: calls.ChatCall, run: ids.RequestId
    ) -> None:
        """Write the request; raises OSError or urllib3's HTTPError."""
        body = {
            "request": run,
            "model": call.model,
            "messages": call.messages,
            "max_tokens": call.tokens_max,
        }
        connection.request(
            "POST",
            "/generate",
            body=json.dumps(body).encode(),
            headers={"Content-Type": "application/json"},
            preload_content=False,
            decode_content=False,
        )

    def resume(
        self, connection: backend.Connection, run: ids.RequestId, offset: int
    ) -> None:
        """Request the stream from an offset."""
        connection.request(
            "GET",
            f"/generate/{run}?offset={offset}",
            preload_content=False,
            decode_content=False,
        )

    def receive(
        self, connection: backend.Connection, run: ids.RequestId, offset: int
    ) -> Iterator[backend.Tokens | backend.Finished]:
        """Yield the stream from an offset; ends without Finished if it was cut off."""
        response = connection.getresponse()
        if response.status != 200:
            body = httpconnections.read_body(response, backend.FIELDS_BYTES_MAX)
            _raise_refusal(response.status, body, connection.server)
        for line in _split_lines(backend.read_body(response), connection.server):
            piece = _parse_line(line, run, offset, connection.server)
            if piece is None:
                continue
            yield piece
            if isinstance(piece, backend.Finished):
                return
            offset += len(piece.texts)

    def cancel(self, connection: backend.Connection, run: ids.RequestId) -> None:
        """Ask the engine to stop a run, and wait for its response."""
        connection.request(
            "DELETE", f"/generate/{run}", preload_content=False, decode_content=False
        )
        response = connection.getresponse()
        httpconnections.read_body(response, backend.FIELDS_BYTES_MAX)


def _raise_refusal(status: int, body: bytes, server: ids.ServerId) -> None:
    if status == plain.LEAVING_STATUS and plain.is_leaving(body):
        raise backend.Declined(
            "the engine is leaving", leaving=True, step="send", peer=server
        )
    if status == NOT_LOADED_STATUS and plain.read_reason(body) == NOT_LOADED:
        raise backend.Declined("another model is loaded", step="send", peer=server)
    raise backend.StreamRefused(f"status {status}", step="read answer", peer=server)


def _split_lines(chunks: Iterator[bytes], server: ids.ServerId) -> Iterator[bytes]:
    remainder = b""
    for chunk in chunks:
        *lines, remainder = (remainder + chunk).split(b"\n")
        yield from lines
        if len(remainder) > LINE_BYTES_MAX:
            raise backend.AnswerLost(
                f"line exceeds {LINE_BYTES_MAX} bytes", step="read answer", peer=server
            )
    if remainder:
        yield remainder


def _parse_line(
    line: bytes, run: ids.RequestId, offset: int, server: ids.ServerId
) -> backend.Tokens | backend.Finished | None:
    """Return the new content of a line, or None if there is none.

    A faulty engine or intermediary may send a line of another run, which would leak one
    caller's text into another's response; such a line carries the id of that run and is
    dropped. A line that overlaps earlier ones is trimmed; a gap raises AnswerLost.
    """
    if not line.strip():
        return None
    try:
        fields = json.loads(line)
        if fields["request"] != run:
            events.log(events.Event.STALE_ANSWER_DROPPED, request=run, server=server)
            return None
        start = int(fields["offset"])
        if fields.get("done"):
            return _parse_end(fields, start, offset, server)
        texts = tuple(str(text) for text in fields["tokens"])
    except (ValueError, KeyError, TypeError) as error:
        raise backend.AnswerLost(
            f"malformed line in the stream: {error}", step="read answer", peer=server
        ) from error
    if start > offset:
        raise backend.AnswerLost(
            f"expected offset {offset}, found {start}", step="read answer", peer=server
        )
    texts = texts[offset - start :]
    return backend.Tokens(offset, texts) if texts else None


def _parse_end(
    fields: dict[str, object], start: int, offset: int, server: ids.ServerId
) -> backend.Finished:
    if start != offset:
        raise backend.AnswerLost(
            f"expected offset {offset}, found {start}", step="read answer", peer=server
        )
    return backend.Finished(
        tokens=offset,
        prompt_tokens=int(str(fields.get("prompt_tokens", 0))),
        cached_tokens=int(str(fields.get("cached_tokens", 0))),
        reason=str(fields.get("finish_reason", "stop")),
    )
