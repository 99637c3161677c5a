"""Says in words what the log lines of one request mean.

Each event that touches a request has a sentence of its own here, found by its number;
the last sentence names the outcome and the step that decided it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

import msgspec

from celeryspan import errors, events, loglines

Fields = Mapping[str, object]
Sentence = Callable[[Fields], str]

SENTENCES: dict[int, Sentence] = {}

WAITING_SHARE = 0.5
"""Part of a late first event that a step must have taken to be named as the reason."""


def sentence(event: events.Event) -> Callable[[Sentence], Sentence]:
    """Put the sentence of an event into the registry."""

    def decorate(write: Sentence) -> Sentence:
        SENTENCES[int(event)] = write
        return write

    return decorate


@sentence(events.Event.GRANT_ISSUED)
def _explain_grant(fields: Fields) -> str:
    text = f"home of its pool: a place at {fields.get('server')}"
    text += f" after {seconds(fields, 'waited')} of waiting"
    if not fields.get("read") and not fields.get("kept"):
        return text
    text += f"; {fields.get('kept')} tokens kept there"
    text += f", {seconds(fields, 'pending')} of reading before it"
    text += f" and {seconds(fields, 'read')} its own"
    speed = number(fields, "speed")
    if speed > 1.0:
        text += f"; the server is believed to be {speed:g} times slower than usual"
    return text + ("; counts as a long prompt" if fields.get("is_long") else "")


@sentence(events.Event.PLACE_REFUSED)
def _explain_no_place(fields: Fields) -> str:
    return (
        f"home of its pool: no place ({fields.get('reason')})"
        f" after {seconds(fields, 'waited')};"
        f" to come back after {seconds(fields, 'retry_after')}"
    )


@sentence(events.Event.REQUEST_SENT)
def _explain_sent(fields: Fields) -> str:
    kind = "kept" if fields.get("reused") else "new"
    return (
        f"sent to {fields.get('server')} (attempt {fields.get('attempt')},"
        f" {seconds(fields, 'left')} left, on a {kind} connection)"
    )


@sentence(events.Event.REQUEST_SETTLED)
def _explain_settled(fields: Fields) -> str:
    if fields.get("outcome") != "ran":
        return f"broke off, outcome {fields.get('outcome')}: {fields.get('error')}"
    text = f"answered by {fields.get('server')} after {seconds(fields, 'seconds')}"
    return (
        f"{text}; first event after {seconds(fields, 'first')}"
        f" (objective {seconds(fields, 'objective')}),"
        f" longest pause {seconds(fields, 'gap')} (limit {seconds(fields, 'gap_max')})"
    )


@sentence(events.Event.REQUEST_REFUSED)
def _explain_refused(fields: Fields) -> str:
    return (
        f"told the caller {fields.get('status')} {fields.get('code')},"
        f" outcome {fields.get('outcome')}: {fields.get('error')}"
    )


@sentence(events.Event.STREAM_RESUMED)
def _explain_resumed(fields: Fields) -> str:
    where = f" at {fields['server']}" if fields.get("server") else ""
    return f"the stream is to go on{where} above event {fields.get('above')!r}"


@sentence(events.Event.RUN_LOST)
def _explain_lost_run(fields: Fields) -> str:
    since = "the first part of the answer" if fields.get("is_begun") else "sending it"
    return (
        f"lost at {fields.get('server')} {seconds(fields, 'seconds')} after {since}"
        f" (fingerprint {fields.get('fingerprint')})"
    )


@sentence(events.Event.CALLER_LEFT)
def _explain_left(_: Fields) -> str:
    return "the caller closed its connection"


@sentence(events.Event.STALE_ANSWER_DROPPED)
def _explain_stale(fields: Fields) -> str:
    return f"dropped an answer of {fields.get('server')} to another request"


@sentence(events.Event.RUN_MOVED)
def _explain_moved(fields: Fields) -> str:
    return f"the run was to move: {name_rest(fields)}"


def explain(request: str, log: loglines.Log) -> list[str]:
    """Return what the lines of one request say, and what follows from them.

    Raises
    ------
    errors.InputError
        If no line names the request.
    """
    lines = [line for line in log.lines if line.request == request]
    if not lines:
        raise errors.InputError(
            f"expected lines about request {request!r}, found none among"
            f" {len(log.lines)} (and {log.unreadable} that can't be read)"
        )
    routers = sorted({line.router for line in lines})
    told = [
        f"request {request}: {len(lines)} lines of {', '.join(routers)};"
        f" {log.unreadable} lines of the logs can't be read"
    ]
    began = lines[0].at
    for line in lines:
        write = SENTENCES.get(line.number)
        text = (
            write(line.fields) if write else f"{line.number} {name_rest(line.fields)}"
        )
        told.append(f"{line.at - began:9.3f} s  {line.router}  {text}")
    return [*told, f"so: {conclude(lines)}"]


class _Story(msgspec.Struct, frozen=True):
    """The lines of one request by what they tell."""

    settled: loglines.Line | None
    refused: loglines.Line | None
    sent: tuple[loglines.Line, ...]
    grant: loglines.Line | None


def conclude(lines: Iterable[loglines.Line]) -> str:
    """Return the outcome of a request, and the step that decided it."""
    story = _tell(list(lines))
    if story.refused is not None:
        return _conclude_refusal(story)
    if story.settled is None:
        if story.sent:
            return (
                "no end is logged: the router ended, or the log was cut, after it sent"
            )
        return "no end is logged, and nothing was sent that the logs know of"
    if story.settled.fields.get("outcome") != "ran":
        return "the answer broke off; whether the server went on is known to it alone"
    return _conclude_answer(story)


def _tell(lines: list[loglines.Line]) -> _Story:
    def last(event: events.Event) -> loglines.Line | None:
        return next((each for each in reversed(lines) if each.number == event), None)

    sent = [each for each in lines if each.number == events.Event.REQUEST_SENT]
    return _Story(
        last(events.Event.REQUEST_SETTLED),
        last(events.Event.REQUEST_REFUSED),
        tuple(sent),
        last(events.Event.GRANT_ISSUED),
    )


def _conclude_refusal(story: _Story) -> str:
    assert story.refused is not None
    fields = story.refused.fields
    code, outcome = fields.get("code"), fields.get("outcome")
    if outcome == "not-run" and not story.sent:
        return f"refused ({code}) before anything was sent; it has not run"
    if outcome == "not-run":
        return f"refused ({code}); each server that got it said that it did not run it"
    servers = ", ".join(str(each.fields.get("server")) for each in story.sent)
    return f"nobody knows whether it ran ({code}); it was sent to {servers or 'nobody'}"


def _conclude_answer(story: _Story) -> str:
    assert story.settled is not None
    fields = story.settled.fields
    first, objective = number(fields, "first"), number(fields, "objective")
    if objective and first > objective:
        return f"answered late by its first event: {_find_reason(story, first)}"
    if number(fields, "gap") > number(fields, "gap_max") > 0:
        return "answered late by a pause: look for long prompts at that server then"
    return "answered in time"


def _find_reason(story: _Story, first: float) -> str:
    """Return the step that took most of the time to the first event."""
    grant = story.grant.fields if story.grant else {}
    waited = number(grant, "waited")
    read = number(grant, "pending") + number(grant, "read")
    if len(story.sent) > 1:
        return f"it was sent {len(story.sent)} times"
    if waited > WAITING_SHARE * first:
        return f"it waited {waited:g} s for a place"
    if read > WAITING_SHARE * first:
        return f"reading of {read:g} s lay before its first event"
    return "the server took longer than was believed"


def number(fields: Fields, name: str) -> float:
    """Return a figure of a line; 0 if it has none."""
    found = fields.get(name)
    return float(found) if isinstance(found, int | float) else 0.0


def seconds(fields: Fields, name: str) -> str:
    """Return a time of a line as text."""
    found = fields.get(name)
    return f"{found:.3g} s" if isinstance(found, int | float) else "an unknown time"


OWN_FIELDS = ("number", "request", "timestamp", "task_uuid", "task_level")


def name_rest(fields: Fields) -> str:
    """Return the fields of a line that has no sentence."""
    return " ".join(f"{k}={v}" for k, v in fields.items() if k not in OWN_FIELDS)
