"""Explains the log lines of one request in plain words.

Each event about a request has a function that describes it, looked up by event number.
The last line of a report states the outcome and the step that decided it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

import msgspec

from celeryspan import errors, events, loglines
from celeryspan.decisions import rejections

Fields = Mapping[str, object]
Explanation = Callable[[Fields], str]

EXPLANATIONS: dict[int, Explanation] = {}

MAIN_CAUSE_SHARE = 0.5
"""Share of the time to a late first event above which a step is named as its cause."""


def explains(event: events.Event) -> Callable[[Explanation], Explanation]:
    """Register the function that describes an event."""

    def decorate(function: Explanation) -> Explanation:
        EXPLANATIONS[int(event)] = function
        return function

    return decorate


@explains(events.Event.GRANT_ISSUED)
def _explain_grant(fields: Fields) -> str:
    text = f"pool home granted a place at {fields.get('server')}"
    text += f" after {render_seconds(fields, 'waited')} of waiting"
    if not fields.get("read") and not fields.get("kept"):
        return text
    text += f"; {fields.get('kept')} prompt tokens cached there"
    text += f", {render_seconds(fields, 'pending')} of prefill ahead of it"
    text += f" and {render_seconds(fields, 'read')} of its own"
    speed = get_number(fields, "speed")
    if speed > 1.0:
        text += f"; the server is estimated to be {speed:g} times slower than usual"
    return text + ("; counted as a long prompt" if fields.get("is_long") else "")


REFUSAL_REASONS = {
    rejections.SERVERS_REJECTING: "all servers of the pool reject requests",
}
"""Reasons of refusals that are explained in words."""


@explains(events.Event.PLACE_REFUSED)
def _explain_no_place(fields: Fields) -> str:
    reason = str(fields.get("reason"))
    words = REFUSAL_REASONS.get(reason)
    return (
        f"pool home granted no place ({reason}{f': {words}' if words else ''})"
        f" after {render_seconds(fields, 'waited')};"
        f" retry after {render_seconds(fields, 'retry_after')}"
    )


@explains(events.Event.REQUEST_SENT)
def _explain_sent(fields: Fields) -> str:
    kind = "kept" if fields.get("reused") else "new"
    return (
        f"sent to {fields.get('server')} (attempt {fields.get('attempt')},"
        f" {render_seconds(fields, 'left')} left, on a {kind} connection)"
        + (f", software version {fields['version']}" if fields.get("version") else "")
    )


@explains(events.Event.STREAM_TAKEN_UP)
def _explain_taken_up(fields: Fields) -> str:
    begun = f"stream that began as {fields.get('origin') or 'an unnamed request'}"
    if fields.get("version"):
        begun += f" at software version {fields['version']}"
    return f"{begun} taken up after event {fields.get('above')!r}: " + (
        f"{fields.get('verdict')}"
    )


@explains(events.Event.REQUEST_SETTLED)
def _explain_settled(fields: Fields) -> str:
    if fields.get("outcome") != "ran":
        return (
            f"answer interrupted, outcome {fields.get('outcome')}:"
            f" {fields.get('error')}"
        )
    text = (
        f"answered by {fields.get('server')} after {render_seconds(fields, 'seconds')}"
    )
    return (
        f"{text}; first event after {render_seconds(fields, 'first')}"
        f" (objective {render_seconds(fields, 'objective')}),"
        f" longest pause {render_seconds(fields, 'gap')}"
        f" (limit {render_seconds(fields, 'gap_max')})"
    )


@explains(events.Event.REQUEST_REFUSED)
def _explain_refused(fields: Fields) -> str:
    return (
        f"returned {fields.get('status')} {fields.get('code')} to the caller,"
        f" outcome {fields.get('outcome')}: {fields.get('error')}"
    )


@explains(events.Event.STREAM_RESUMED)
def _explain_resumed(fields: Fields) -> str:
    where = f" at {fields['server']}" if fields.get("server") else ""
    return f"stream to be resumed{where} after event {fields.get('above')!r}"


@explains(events.Event.RUN_LOST)
def _explain_run_lost(fields: Fields) -> str:
    since = "the first part of the answer" if fields.get("is_begun") else "it was sent"
    return (
        f"run lost at {fields.get('server')}"
        f" {render_seconds(fields, 'seconds')} after {since}"
        f" (fingerprint {fields.get('fingerprint')})"
    )


@explains(events.Event.REQUEST_HANDED_OVER)
def _explain_handed_over(fields: Fields) -> str:
    return f"handed over to {fields.get('peer')}, for want of processor time"


@explains(events.Event.CALLER_LEFT)
def _explain_caller_left(_: Fields) -> str:
    return "the caller closed the connection"


@explains(events.Event.STALE_ANSWER_DROPPED)
def _explain_stale_answer(fields: Fields) -> str:
    return f"dropped a stale answer of {fields.get('server')} to another request"


@explains(events.Event.DEPARTURE_ANNOUNCED)
def _explain_departure(fields: Fields) -> str:
    return f"{fields.get('server')} announced in its answer that it is leaving"


@explains(events.Event.REST_REQUESTED)
def _explain_rest(fields: Fields) -> str:
    return (
        f"{fields.get('server')} turned it away and asked this router for a rest of"
        f" {render_seconds(fields, 'seconds')}"
    )


@explains(events.Event.REST_CORRECTED)
def _explain_rest_correction(fields: Fields) -> str:
    return (
        f"{fields.get('server')} asked for a rest of {fields.get('found')!r}, counted"
        f" as {render_seconds(fields, 'seconds')}"
    )


@explains(events.Event.RUN_MOVED)
def _explain_moved(fields: Fields) -> str:
    return f"run to be moved: {render_fields(fields)}"


def explain(request: str, log: loglines.Log) -> list[str]:
    """Return the explained log lines of a request, followed by its outcome.

    Raises
    ------
    errors.InputError
        If no line refers to the request.
    """
    lines = [line for line in log.lines if line.request == request]
    if not lines:
        raise errors.InputError(
            f"expected lines about request {request!r}, found none among"
            f" {len(log.lines)} (and {log.unreadable} unreadable ones)"
        )
    routers = sorted({line.router for line in lines})
    report = [
        f"request {request}: {len(lines)} lines of {', '.join(routers)};"
        f" {log.unreadable} unreadable lines in the logs"
    ]
    first_at = lines[0].at
    for line in lines:
        describe = EXPLANATIONS.get(line.number)
        text = (
            describe(line.fields)
            if describe
            else f"{line.number} {render_fields(line.fields)}"
        )
        report.append(f"{line.at - first_at:9.3f} s  {line.router}  {text}")
    return [*report, f"conclusion: {describe_outcome(lines)}"]


class _Trace(msgspec.Struct, frozen=True):
    """The log lines that determine the outcome of a request."""

    settled: loglines.Line | None
    refused: loglines.Line | None
    sent: tuple[loglines.Line, ...]
    grant: loglines.Line | None


def describe_outcome(lines: Iterable[loglines.Line]) -> str:
    """Return a sentence on the outcome of a request and the step that decided it."""
    trace = _make_trace(list(lines))
    if trace.refused is not None:
        return _describe_refusal(trace)
    if trace.settled is None:
        if trace.sent:
            return (
                "no end is logged: the router stopped or the log was truncated after it"
                " was sent"
            )
        return "no end is logged, and nothing was sent according to the logs"
    if trace.settled.fields.get("outcome") != "ran":
        return "the answer was interrupted; the server may have finished the run"
    return _describe_answer(trace)


def _make_trace(lines: list[loglines.Line]) -> _Trace:
    def last(event: events.Event) -> loglines.Line | None:
        return next((each for each in reversed(lines) if each.number == event), None)

    sent = [each for each in lines if each.number == events.Event.REQUEST_SENT]
    return _Trace(
        last(events.Event.REQUEST_SETTLED),
        last(events.Event.REQUEST_REFUSED),
        tuple(sent),
        last(events.Event.GRANT_ISSUED),
    )


def _describe_refusal(trace: _Trace) -> str:
    assert trace.refused is not None
    fields = trace.refused.fields
    code, outcome = fields.get("code"), fields.get("outcome")
    if code == rejections.SERVERS_REJECTING and outcome == "not-run":
        return f"refused ({code}): {REFUSAL_REASONS[code]}; it did not run"
    if outcome == "not-run" and not trace.sent:
        return f"refused ({code}) before anything was sent; it did not run"
    if outcome == "not-run":
        return f"refused ({code}); each server it was sent to reported not running it"
    servers = ", ".join(str(each.fields.get("server")) for each in trace.sent)
    return f"unknown whether it ran ({code}); it was sent to {servers or 'nobody'}"


def _describe_answer(trace: _Trace) -> str:
    assert trace.settled is not None
    fields = trace.settled.fields
    first, objective = get_number(fields, "first"), get_number(fields, "objective")
    if objective and first > objective:
        return (
            "answered late, first event after its objective:"
            f" {_find_delay_cause(trace, first)}"
        )
    if get_number(fields, "gap") > get_number(fields, "gap_max") > 0:
        return "answered late by a pause: check for long prompts on that server then"
    return "answered in time"


def _find_delay_cause(trace: _Trace, first: float) -> str:
    """Return the likely cause of a late first event."""
    grant = trace.grant.fields if trace.grant else {}
    waited = get_number(grant, "waited")
    read = get_number(grant, "pending") + get_number(grant, "read")
    if len(trace.sent) > 1:
        return f"it was sent {len(trace.sent)} times"
    if waited > MAIN_CAUSE_SHARE * first:
        return f"it waited {waited:g} s for a place"
    if read > MAIN_CAUSE_SHARE * first:
        return f"an estimated {read:g} s of prefill came before its first event"
    return "the server took longer than estimated"


def get_number(fields: Fields, name: str) -> float:
    """Return a number from the fields of a line, or 0 if there is none."""
    found = fields.get(name)
    return float(found) if isinstance(found, int | float) else 0.0


def render_seconds(fields: Fields, name: str) -> str:
    """Return a duration from the fields of a line as text."""
    found = fields.get(name)
    return f"{found:.3g} s" if isinstance(found, int | float) else "an unknown time"


COMMON_FIELDS = ("number", "request", "timestamp", "task_uuid", "task_level")


def render_fields(fields: Fields) -> str:
    """Return the fields of a line as text, without those that all lines have."""
    return " ".join(f"{k}={v}" for k, v in fields.items() if k not in COMMON_FIELDS)
