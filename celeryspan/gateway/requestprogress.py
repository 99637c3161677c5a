"""What has become of one request so far."""

from __future__ import annotations

from typing import TYPE_CHECKING

from celeryspan import ids

if TYPE_CHECKING:
    from celeryspan.decisions import fingerprints
    from celeryspan.gateway import replies


class Progress:
    """What has become of one request so far.

    Attributes
    ----------
    sends, connects : int
        Servers that the request was sent to, and those that did not accept.
    may_have_run : bool
        Whether one of them may have run it.
    is_answering : bool
        Whether the caller has got the head of an answer.
    last_event : str
        Id of the last event that was passed on.
    failure : Reply and body, or None
        A server's own failure, to be passed on if no repeat does better.
    first_at, gap : float
        When the first event was passed on, and the longest pause since, in seconds.
    last_sent_at, answer_begun_at : float
        When it was last sent, and when the first part of that answer came.
    strikes : int
        Crashes in a row under this request that were known when it was last sent.
    fingerprint : Fingerprint or None
        Set once it was needed.
    """

    def __init__(self) -> None:
        self.sends = 0
        self.connect_failures = 0
        self.may_have_run = False
        self.is_answering = False
        self.last_event = ""
        self.excluded: tuple[ids.ServerId, ...] = ()
        self.server_failure: tuple[replies.Reply, bytes] | None = None
        self.timed_out = False
        self.first_event_at: float | None = None
        self.last_event_at = 0.0
        self.longest_gap = 0.0
        self.last_sent_at = 0.0
        self.answer_begun_at: float | None = None
        self.strikes = 0
        self.fingerprint: fingerprints.Fingerprint | None = None

    def record_send(self, now: float) -> None:
        """Note that the request is sent to one more server."""
        self.sends += 1
        self.last_sent_at = now
        self.answer_begun_at = None

    def record_event(self, now: float) -> None:
        """Note that an event of a stream is passed on."""
        if self.answer_begun_at is None:
            self.answer_begun_at = now
        if self.first_event_at is None:
            self.first_event_at = now
        else:
            self.longest_gap = max(self.longest_gap, now - self.last_event_at)
        self.last_event_at = now
