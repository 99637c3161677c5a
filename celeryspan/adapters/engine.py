"""The adapter of model engines."""

from __future__ import annotations

import json
from collections.abc import Iterator

from celeryspan import calls, events, ids, states
from celeryspan.adapters import backend, plain

# One line of a stream; a token is a few bytes and a line holds some of them.
LINE_BYTES_MAX = 1_048_576

# The answer of an engine that has been ordered to load another model meanwhile.
NOT_LOADED_STATUS = 409
NOT_LOADED = "model not loaded"


@backend.register(states.ServiceKind.MODEL)
class ModelEngine:
    """Speaks the engines' streaming protocol."""

    def send(
        self, link: backend.Link, call: calls.ChatCall, run: ids.RequestId
    ) -> None:
        """Write the request; raises OSError or urllib3's HTTPError."""
        body = {
            "request": run,
            "model": call.model,
            "messages": call.messages,
            "max_tokens": call.tokens_max,
        }
        link.request(
            "POST",
            "/generate",
            body=json.dumps(body).encode(),
            headers={"Content-Type": "application/json"},
            preload_content=False,
        )

    def resume(self, link: backend.Link, run: ids.RequestId, offset: int) -> None:
        """Ask for the stream from an offset on."""
        link.request("GET", f"/generate/{run}?offset={offset}", preload_content=False)

    def receive(
        self, link: backend.Link, run: ids.RequestId, offset: int
    ) -> Iterator[backend.Tokens | backend.Finished]:
        """Yield the stream from an offset on; ends without Finished if it was cut."""
        response = link.getresponse()
        if response.status != 200:
            _raise_refusal(response.status, response.read(), link.server)
        for line in _split_lines(backend.read_body(response), link.server):
            piece = _read_line(line, run, offset, link.server)
            if piece is None:
                continue
            yield piece
            if isinstance(piece, backend.Finished):
                return
            offset += len(piece.texts)

    def cancel(self, link: backend.Link, run: ids.RequestId) -> None:
        """Ask the engine to stop a run, and wait for its word."""
        link.request("DELETE", f"/generate/{run}", preload_content=False)
        link.getresponse().read()


def _raise_refusal(status: int, body: bytes, server: ids.ServerId) -> None:
    if status == plain.LEAVING_STATUS and plain.is_leaving(body):
        raise backend.Declined(
            "the engine is leaving", leaving=True, step="send", peer=server
        )
    if status == NOT_LOADED_STATUS and plain.read_reason(body) == NOT_LOADED:
        raise backend.Declined("another model is loaded", step="send", peer=server)
    raise backend.StreamRefused(f"status {status}", step="read answer", peer=server)


def _split_lines(pieces: Iterator[bytes], server: ids.ServerId) -> Iterator[bytes]:
    rest = b""
    for piece in pieces:
        *lines, rest = (rest + piece).split(b"\n")
        yield from lines
        if len(rest) > LINE_BYTES_MAX:
            raise backend.AnswerLost("line too long", step="read answer", peer=server)
    if rest:
        yield rest


def _read_line(
    line: bytes, run: ids.RequestId, offset: int, server: ids.ServerId
) -> backend.Tokens | backend.Finished | None:
    """Return what a line adds to the stream, or None.

    A line of another run, which a confused engine or device between may send, would
    put one caller's text into another's answer: it carries the other run's id and is
    dropped. A line sent twice is cut to what is new; a gap raises AnswerLost.
    """
    if not line.strip():
        return None
    try:
        found = json.loads(line)
        if found["request"] != run:
            events.log(events.Event.STALE_ANSWER_DROPPED, request=run, server=server)
            return None
        start = int(found["offset"])
        if found.get("done"):
            return _read_end(found, start, offset, server)
        texts = tuple(str(text) for text in found["tokens"])
    except (ValueError, KeyError, TypeError) as error:
        raise backend.AnswerLost(
            f"malformed line: {error}", step="read answer", peer=server
        ) from error
    if start > offset:
        raise backend.AnswerLost("tokens missing", step="read answer", peer=server)
    texts = texts[offset - start :]
    return backend.Tokens(offset, texts) if texts else None


def _read_end(
    found: dict[str, object], start: int, offset: int, server: ids.ServerId
) -> backend.Finished:
    if start != offset:
        raise backend.AnswerLost("tokens missing", step="read answer", peer=server)
    return backend.Finished(
        tokens=offset,
        prompt_tokens=int(str(found.get("prompt_tokens", 0))),
        cached_tokens=int(str(found.get("cached_tokens", 0))),
        reason=str(found.get("finish_reason", "stop")),
    )
