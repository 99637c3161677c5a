"""Answers kept for repeats, and what repeats are told."""

from __future__ import annotations

import hashlib

import cherrypy

from celeryspan import calls, errors, ids, states
from celeryspan.decisions import claims
from celeryspan.services import answers

REPEAT_HEADER = "Celeryspan-Repeat"

# Told to a caller whose name can't be remembered because too many are, in seconds.
RECORDS_FULL_RETRY_SECONDS = 10.0

DROPPED_HEADERS = answers.FRAMING_HEADERS | {
    answers.REQUEST_HEADER.lower(),
    answers.OUTCOME_HEADER.lower(),
}


def hash_call(call: calls.Call) -> str:
    """Return the hash that tells one request from another under the same name."""
    digest = hashlib.sha256()
    for part in (call.service, call.method, call.target):
        digest.update(part.encode() + b"\0")
    digest.update(call.body)
    return digest.hexdigest()


def capture_answer(body: bytes) -> claims.Answer:
    """Return the current answer, to be given again."""
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
    """Make a kept answer the current one."""
    cherrypy.response.status = answer.status
    headers = cherrypy.response.headers
    headers.pop("Content-Type", None)
    headers.update(dict(answer.headers))
    headers[REPEAT_HEADER] = "1"
    answers.set_outcome(request, outcome)
    return answer.body


def make_refusal(verdict: claims.Decision) -> errors.NotRun:
    """Return the refusal of a name that can't be used."""
    if verdict is claims.Decision.FULL:
        return errors.NotRun(
            "this router can't remember more requests",
            code="records-full",
            status=503,
            retry_after=RECORDS_FULL_RETRY_SECONDS,
            step="claim",
        )
    return errors.NotRun(
        "this ticket or key was used for a different request",
        code="name-reused",
        status=422,
        step="claim",
    )


def make_outcome_unknown(message: str) -> errors.OutcomeUnknown:
    """Return the answer where an earlier request may or may not have run."""
    return errors.OutcomeUnknown(
        message, code="outcome-unknown", status=409, step="claim"
    )


def make_answer_not_kept() -> errors.AnswerUnavailable:
    """Return the answer where an earlier request ran and its answer is gone."""
    return errors.AnswerUnavailable(
        "the request ran; its answer was not whole or is no longer kept",
        code="answer-not-kept",
        status=409,
        step="claim",
    )
