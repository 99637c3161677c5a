"""Answers to repeated requests with a ticket or key."""

from __future__ import annotations

import hashlib

import cherrypy

from celeryspan import calls, errors, ids, states
from celeryspan.decisions import claims
from celeryspan.services import answers

REPEAT_HEADER = "Celeryspan-Repeat"

# Retry-After for a request that cannot be recorded because the ledger is full.
RECORDS_FULL_RETRY_SECONDS = 10.0

DROPPED_HEADERS = answers.FRAMING_HEADERS | {
    answers.REQUEST_HEADER.lower(),
    answers.OUTCOME_HEADER.lower(),
}


def hash_call(call: calls.Call) -> str:
    """Return the hash that distinguishes different requests with the same name."""
    digest = hashlib.sha256()
    for part in (call.service, call.method, call.target):
        digest.update(part.encode() + b"\0")
    digest.update(call.body)
    return digest.hexdigest()


def capture_answer(body: bytes) -> claims.Answer:
    """Return the current answer for storage, so that repeats can be given it."""
    headers = tuple(
        (name, str(value))
        for name, value in cherrypy.response.headers.items()
        if name.lower() not in DROPPED_HEADERS
    )
    status = cherrypy.response.status or 200
    return claims.Answer(int(str(status).split()[0]), headers, body)


def write_repeat(
    request: ids.RequestId, outcome: states.Outcome, answer: claims.Answer
) -> bytes:
    """Write a kept answer as the current answer."""
    cherrypy.response.status = answer.status
    headers = cherrypy.response.headers
    headers.pop("Content-Type", None)
    headers.update(dict(answer.headers))
    headers[REPEAT_HEADER] = "1"
    answers.set_outcome(request, outcome)
    return answer.body


def make_refusal(verdict: claims.Decision) -> errors.NotRun:
    """Return the error for a ticket or key that cannot be accepted."""
    if verdict is claims.Decision.FULL:
        return errors.NotRun(
            "this router cannot record more tickets and keys",
            code="records-full",
            status=503,
            retry_after=RECORDS_FULL_RETRY_SECONDS,
            step="claim",
        )
    return errors.NotRun(
        "this ticket or key has been used for a different request",
        code="name-reused",
        status=422,
        step="claim",
    )


def make_outcome_unknown(message: str) -> errors.OutcomeUnknown:
    """Return the error if it is unknown whether an earlier request ran."""
    return errors.OutcomeUnknown(
        message, code="outcome-unknown", status=409, step="claim"
    )


def make_answer_not_kept() -> errors.AnswerUnavailable:
    """Return the error if an earlier request ran but its answer is not kept."""
    return errors.AnswerUnavailable(
        "the request ran, but its answer was incomplete or is no longer kept",
        code="answer-not-kept",
        status=409,
        step="claim",
    )
