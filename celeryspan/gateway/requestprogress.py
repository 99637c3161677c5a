"""The progress of one request through its attempts."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, NamedTuple

from celeryspan import catalog, ids
from celeryspan.decisions import retries
from celeryspan.wire import messages

if TYPE_CHECKING:
    from celeryspan.decisions import fingerprints, suspectfeatures
    from celeryspan.gateway import replies


class LoadReading(NamedTuple):
    """The load that a server reported in an answer, and when that arrived."""

    server: ids.ServerId
    load: catalog.ServerLoad
    read_at: float


class Progress:
    """The progress of one request through its attempts.

    Times are monotonic, in seconds.

    Attributes
    ----------
    exposure : Exposure
        What servers may have done with the request.
    connect_failures : int
        Number of servers that accepted no connection.
    is_answering : bool
        Whether the head of an answer was sent to the caller.
    last_event : str
        Id of the last event that was sent to the caller.
    excluded : tuple of ServerId
        Servers that were tried and are not to be selected again.
    server_failure : Reply and body, or None
        A server's error answer, returned to the caller if no retry succeeds.
    timed_out : bool
        Whether the deadline passed while waiting for the head of an answer.
    first_event_at, last_event_at : float
        When the first and the last event were sent to the caller.
    longest_gap : float
        Longest pause between two events, in seconds.
    last_sent_at, answer_begun_at : float
        When the request was last sent, and when the first event of that answer arrived.
    strikes : dict of value to int
        Consecutive crashes attributed to this request and to each of its features, as
        known when it was last sent.
    features : tuple of Feature or None
        Features that the request shares with others; computed on first use.
    has_unsent_retry : bool
        Whether a retry was taken from the budget and has not been sent.
    scope, fingerprint : int, Fingerprint or None
        Computed on first use.
    version : SoftwareVersion
        Version of the server that began the stream, at which alone it may go on; empty
        if any server may run the request.
    load : LoadReading or None
        The load in the last answer, until it has been reported to a home.
    reply : Reply or None
        The last answer whose head was accepted.
    is_end_confirmed : bool
        Whether that answer was seen to end as its server meant it to.
    """

    def __init__(self, *, is_repeatable: bool) -> None:
        self.exposure = retries.Exposure(is_repeatable=is_repeatable)
        self.connect_failures = 0
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
        self.strikes: dict[int, int] = {}
        self.features: tuple[suspectfeatures.Feature, ...] | None = None
        self.scope: int | None = None
        self.has_unsent_retry = False
        self.version = catalog.NO_VERSION
        self.fingerprint: fingerprints.Fingerprint | None = None
        self.load: LoadReading | None = None
        self.reply: replies.Reply | None = None
        self.is_end_confirmed = False

    @property
    def sends(self) -> int:
        """Number of servers that the request was sent to."""
        return self.exposure.sends

    @property
    def may_have_run(self) -> bool:
        """Whether a server may have run the request."""
        return self.exposure.may_have_run

    def record_send(self, now: float, *, is_same_run: bool = False) -> None:
        """Record that the request is sent to another server.

        Parameters
        ----------
        is_same_run : bool
            Whether the server continues a run that another one has stopped.

        Raises
        ------
        retries.IllegalSend
            If the request may have run and must not run twice.
        """
        self.exposure.record_send(is_same_run=is_same_run)
        self.has_unsent_retry = False
        self.last_sent_at = now
        self.answer_begun_at = None
        self.is_end_confirmed = False
        self.load = None

    def take_load(self, server: ids.ServerId) -> messages.LoadReport | None:
        """Return the load that a server has reported, once."""
        reading = self.load
        if reading is None or reading.server != server:
            return None
        self.load = None
        load = reading.load
        age = time.monotonic() - reading.read_at
        return messages.LoadReport(
            load.running, load.waiting, load.slots, load.pace, age
        )

    def record_event(self, now: float) -> None:
        """Record that a stream event is sent to the caller."""
        if self.answer_begun_at is None:
            self.answer_begun_at = now
        if self.first_event_at is None:
            self.first_event_at = now
        else:
            self.longest_gap = max(self.longest_gap, now - self.last_event_at)
        self.last_event_at = now
