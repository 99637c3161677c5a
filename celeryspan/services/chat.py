"""``POST /v1/chat/completions``: the chat completions API for model engines."""

from __future__ import annotations

import json
import time
from collections.abc import Iterator

import cherrypy

from celeryspan import calls, errors, ids, register, states
from celeryspan.adapters import backend, prefix
from celeryspan.services import answers, exchange, modelanswers

PATH = "/v1/chat/completions"

# Maximum number of generated tokens if the request sets none, as in common servers.
MAX_TOKENS_DEFAULT = 1024
MAX_TOKENS_LIMIT = 65_536

# Memory that a value of a JSON document takes, and what separates values.
PARSED_VALUE_BYTES = 64
VALUE_MARKS = (b",", b"[", b"{")

# Maximum time for a whole answer. An engine does not reach 65,536 tokens within it, but
# no caller waits longer.
CHAT_TIMEOUT_SECONDS = 300.0


def read_call(http_exchange: exchange.Exchange) -> calls.ChatCall:
    """Parse a request into a call; raises NotRun if it is invalid."""
    account = http_exchange.find_account()
    body = http_exchange.read_body()
    http_exchange.reserve(len(body) + estimate_parsed_bytes(body))
    payload = _parse(body)
    service = _find_service(http_exchange, payload)
    messages = _read_messages(payload)
    return calls.ChatCall(
        request=http_exchange.request,
        service=ids.ServiceId(service.name),
        account=account,
        idempotent=calls.is_idempotent("POST", PATH, service.idempotent_paths),
        deadline=http_exchange.started + CHAT_TIMEOUT_SECONDS,
        body=body,
        target=PATH,
        prefix=prefix.hash_blocks(messages),
        hint=_estimate(payload, service),
        cancellation=http_exchange.cancellation,
        model=service.name,
        messages=messages,
        tokens_max=_read_tokens_max(payload),
        stream=payload.get("stream") is True,
    )


def write_answer(call: calls.ChatCall, answer: modelanswers.ModelAnswer) -> object:
    """Write a token stream as a JSON document or as server-sent events."""
    answers.set_outcome(call.request, states.Outcome.RAN)
    if not call.stream:
        return _write_completion(call, answer)
    headers = cherrypy.response.headers
    headers["Content-Type"] = "text/event-stream; charset=utf-8"
    headers["Cache-Control"] = "no-store"
    cherrypy.response.stream = True
    return answers.Stream(
        lambda stream: _write_events(call, answer, stream), answer.close
    )


def _write_events(
    call: calls.ChatCall, answer: modelanswers.ModelAnswer, stream: answers.Stream
) -> Iterator[bytes]:
    """Yield the events; ``[DONE]`` is sent only after the engine's last line."""
    created = int(time.time())
    try:
        for piece in answer.read():
            if isinstance(piece, backend.Tokens):
                choice = {"delta": {"content": "".join(piece.texts)}}
                reason = None
            else:
                choice, reason = {"delta": {}}, piece.reason
            chunk = _make_chunk(call, created, choice, reason)
            if isinstance(piece, backend.Finished):
                chunk["usage"] = _make_usage(piece)
            yield answers.write_event(chunk)
        stream.is_complete = True
        yield b"data: [DONE]\n\n"
    except backend.AnswerLost as error:
        lost = answers.describe_error(make_answer_incomplete(error))
        yield b"event: error\n" + answers.write_event({"error": lost})


def _write_completion(call: calls.ChatCall, answer: modelanswers.ModelAnswer) -> bytes:
    texts: list[str] = []
    try:
        for piece in answer.read():
            if isinstance(piece, backend.Tokens):
                texts.extend(piece.texts)
            else:
                return answers.write_json(_make_completion(call, texts, piece))
    except backend.AnswerLost as error:
        raise make_answer_incomplete(error) from error
    finally:
        answer.close()
    raise AssertionError("the stream ended without its last line or an error")


def make_answer_incomplete(error: errors.CeleryspanError) -> errors.AnswerUnavailable:
    """Return the error for an answer that started but cannot be completed."""
    return errors.AnswerUnavailable(
        f"the answer is incomplete: {error.message}",
        code="answer-incomplete",
        status=502,
        step=error.step,
        peer=error.peer,
    )


def _make_chunk(
    call: calls.ChatCall, created: int, choice: dict[str, object], reason: str | None
) -> dict[str, object]:
    return {
        "id": f"chatcmpl-{call.request}",
        "object": "chat.completion.chunk",
        "created": created,
        "model": call.model,
        "choices": [{"index": 0, **choice, "finish_reason": reason}],
    }


def _make_completion(
    call: calls.ChatCall, texts: list[str], finished: backend.Finished
) -> dict[str, object]:
    message = {"role": "assistant", "content": "".join(texts)}
    return {
        "id": f"chatcmpl-{call.request}",
        "object": "chat.completion",
        "created": int(time.time()),
        "model": call.model,
        "choices": [{"index": 0, "message": message, "finish_reason": finished.reason}],
        "usage": _make_usage(finished),
    }


def _make_usage(finished: backend.Finished) -> dict[str, object]:
    return {
        "prompt_tokens": finished.prompt_tokens,
        "completion_tokens": finished.tokens,
        "total_tokens": finished.prompt_tokens + finished.tokens,
        "prompt_tokens_details": {"cached_tokens": finished.cached_tokens},
    }


def estimate_parsed_bytes(body: bytes) -> int:
    """Return about how many bytes a JSON document takes beyond its own once parsed."""
    return PARSED_VALUE_BYTES * sum(map(body.count, VALUE_MARKS))


def _parse(body: bytes) -> dict[str, object]:
    try:
        payload = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise _reject(f"the body is not valid JSON: {error}") from error
    if not isinstance(payload, dict):
        raise _reject("the body is not a JSON object")
    return payload


def _find_service(
    http_exchange: exchange.Exchange, payload: dict[str, object]
) -> register.Service:
    name = payload.get("model")
    if not isinstance(name, str):
        raise _reject("model must be a string")
    service = http_exchange.find_service(name)
    if service.kind is not states.ServiceKind.MODEL:
        raise exchange.make_refusal(
            f"service {name!r} is not a model", code="no-such-service", status=404
        )
    return service


def _read_messages(payload: dict[str, object]) -> tuple[dict[str, object], ...]:
    messages = payload.get("messages")
    if not isinstance(messages, list) or not messages:
        raise _reject("messages must be a non-empty list")
    for message in messages:
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            raise _reject("each message must be an object with a string as role")
    return tuple(messages)


def _read_tokens_max(payload: dict[str, object]) -> int:
    number = payload.get("max_completion_tokens", payload.get("max_tokens"))
    if number is None:
        return MAX_TOKENS_DEFAULT
    if type(number) is not int or not 0 < number <= MAX_TOKENS_LIMIT:
        raise _reject(f"max_tokens must be an integer from 1 to {MAX_TOKENS_LIMIT}")
    return number


def _estimate(payload: dict[str, object], service: register.Service) -> float:
    """Estimate the cost as the service's hint, or the token limit if that is lower."""
    number = payload.get("max_completion_tokens", payload.get("max_tokens"))
    if type(number) is int and 0 < number < service.cost_hint:
        return float(number)
    return service.cost_hint


def _reject(message: str) -> errors.NotRun:
    return exchange.make_refusal(message, code="malformed", status=400)
