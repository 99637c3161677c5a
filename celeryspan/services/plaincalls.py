"""``/v1/services/{service}/{path}``: calls to plain services, with any method."""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import TYPE_CHECKING

import cherrypy

from celeryspan import calls, ids, states
from celeryspan.adapters import backend, plain
from celeryspan.services import answers, exchange, plainanswers

if TYPE_CHECKING:
    from celeryspan.services import framing

PREFIX = "/v1/services/"

# Maximum time for an answer. A later stand confirmation is of no use, because the bus
# crew has left.
CALL_TIMEOUT_SECONDS = 60.0

# Headers for the router itself, which are not forwarded.
UNFORWARDED_HEADERS = frozenset(
    {"authorization", "content-length", "expect", "host"}
    | {"celeryspan-request-id", "celeryspan-ticket", "celeryspan-forwarded"}
    | {"celeryspan-outcome", "celeryspan-repeat"}
)

TARGET_PATTERN = re.compile(r"/v1/services/([^/?]+)(/[!-~]*)?")


def read_call(http_exchange: exchange.Exchange) -> calls.Call:
    """Parse a request into a call; raises NotRun if it is invalid."""
    account = http_exchange.find_account()
    name, target = _split_target(http_exchange.target)
    service = http_exchange.find_service(name)
    if service.kind is not states.ServiceKind.PLAIN:
        raise exchange.make_refusal(
            f"service {name!r} is not a plain service",
            code="no-such-service",
            status=404,
        )
    path = target.partition("?")[0]
    return calls.Call(
        request=http_exchange.request,
        service=ids.ServiceId(service.name),
        account=account,
        idempotent=calls.is_idempotent(
            http_exchange.method, path, service.idempotent_paths
        ),
        deadline=http_exchange.started + CALL_TIMEOUT_SECONDS,
        method=http_exchange.method,
        target=target,
        headers=tuple(_select_headers(http_exchange)),
        body=http_exchange.read_body(),
        hint=service.cost_hint,
        cancellation=http_exchange.cancellation,
    )


def write_answer(call: calls.Call, answer: plainanswers.PlainAnswer) -> object:
    """Write the answer of a plain service as the current answer."""
    cherrypy.response.status = answer.head.status
    headers = cherrypy.response.headers
    headers.pop("Content-Type", None)
    for name, value in answer.head.headers:
        if name.lower() not in answers.OVERRIDDEN_HEADERS:
            headers[name] = value
    answers.set_outcome(call.request, states.Outcome.RAN)
    if answer.is_complete:
        return answer.first_part
    cherrypy.response.stream = True
    return answers.Stream(
        lambda stream: _relay_body(answer, stream, answers.find_request()), answer.close
    )


def _relay_body(
    answer: plainanswers.PlainAnswer,
    stream: answers.Stream,
    request: framing.Request,
) -> Iterator[bytes]:
    """Yield a large body; if the backend's body is truncated, truncate the caller's."""
    try:
        yield from answer.read()
        stream.is_complete = True
    except backend.AnswerLost:
        request.truncate_response()


def _split_target(target: str) -> tuple[str, str]:
    match = TARGET_PATTERN.fullmatch(target)
    if match is None:
        raise exchange.make_refusal(
            f"the path must have the form {PREFIX}SERVICE/PATH",
            code="malformed",
            status=400,
        )
    return match[1], match[2] or "/"


def _select_headers(http_exchange: exchange.Exchange) -> Iterator[tuple[str, str]]:
    listed = http_exchange.headers.get("Connection", "").lower().split(",")
    dropped = (
        plain.HOP_BY_HOP_HEADERS
        | UNFORWARDED_HEADERS
        | {name.strip() for name in listed}
    )
    for name, value in http_exchange.headers.items():
        if name.lower() not in dropped:
            yield name, value
