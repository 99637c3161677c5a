"""Selection of the routers that read the store, and the fallback to direct reads.

Each watch of the store is a paid call that ends with every change, and each router that
starts needs the contents of the store. With two readers in each of five data centres,
195 routers made 20 calls per second when idle and 20 more for each start.

Two routers watch the store for the whole fleet: those with the lowest hash, in two data
centres if there are several. In each data centre two relays forward their reports to
the other routers there, so that a change crosses between data centres only a few times
and no router sends to hundreds. Each report carries the age of its data. Failures and
how they are detected:

* A reader or relay dies, pauses or loses its peers: its reports stop.
* A reader loses the store: its reports become stale.

In either case the reports of the other source stay fresh. Without any fresh report a
router reads the store itself until one arrives. Relays time out first and the other
routers only if that does not help, so that few routers read after the loss of both
readers.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from celeryspan import ids
from celeryspan.decisions import watchers

READERS = 2
"""Routers that read the store for the fleet, so that one may be paused or cut off."""

RELAYS = 2
"""Routers per data centre that subscribe to the readers, for the same reason."""

WATCH_SECONDS = 1.0
"""Wait of a watch. A dead connection is detected slightly later than this; a leaving
server must be known within two seconds."""

READER_COALESCE_SECONDS = 0.1
"""Time for which a reader coalesces changes before the next watch: a watch ends with
its first change, and 100 servers that start within seconds would each end one. It takes
a twentieth of the two seconds within which a leaving server must be known."""

COALESCE_SECONDS = 0.5
"""The same for a router that reads only until it receives reports."""

KEEPALIVE_SECONDS = 0.8
"""Time without a report after which a subscriber gets one without changes. It means
that the store does not answer, since each answer is reported at once."""

FRESH_SECONDS_RELAYS = 1.8
"""Time for which a report is fresh to a relay: one watch, and 0.8 s for slow answers.
Leaving servers must be known within two seconds."""

FRESH_SECONDS_OTHERS = 2.6
"""The same for subscribers of relays, long enough for a relay to read the store."""

FRESHNESS_STEP_SECONDS = 0.7
"""A report without changes is forwarded if it is at least this much fresher than the
last one. One of the two readers is enough, and each gets an answer once per second."""

SUBSCRIBE_PERIOD_SECONDS = 3.0
"""Period of renewed subscriptions, in case the source has lost the subscription."""

SUBSCRIBE_PERIOD_SILENT_SECONDS = 1.0
"""The same while the source is silent."""

SUBSCRIPTION_SECONDS = 10.0
"""Duration of a subscription; it survives three lost renewals."""

REPORT_EXPIRY_SECONDS = 10.0
"""Reports older than this are dropped, as they no longer describe their source."""

SETTLE_SECONDS = 1.0
"""Time for which a router that knows no others does not act as a reader: when a whole
fleet starts for the first time, every router would select itself."""

STARTUP_DELAY_SECONDS = (1.5, 2.5)
"""Range of the random time for which a new router waits for reports. Random, so that
routers that get none do not all read the store at once."""


class Duties(msgspec.Struct, frozen=True):
    """The readers of the store, and the role and sources of one router.

    Attributes
    ----------
    readers : tuple of RouterId
        Routers that read the store for the fleet.
    sources : tuple of RouterId
        Routers that this one subscribes to; the other readers if it is one itself.
    is_reader, is_relay : bool
        Whether this router reads for the fleet, or relays in its data centre.
    """

    readers: tuple[ids.RouterId, ...]
    sources: tuple[ids.RouterId, ...]
    is_reader: bool
    is_relay: bool


def choose_duties(
    own: ids.RouterId, routers: Mapping[ids.RouterId, ids.DataCentreId]
) -> Duties:
    """Return the duties as one router sees them.

    Parameters
    ----------
    routers : mapping of RouterId to DataCentreId
        Data centre of each router that takes part and is not leaving, including the
        own one.
    """
    readers = choose_readers(routers)
    nearby = [router for router in routers if routers[router] == routers[own]]
    relays = watchers.choose("relay", nearby, RELAYS)
    is_reader, is_relay = own in readers, own in relays
    followed = readers if is_reader or is_relay else relays
    sources = tuple(router for router in followed if router != own)
    return Duties(readers, sources, is_reader, is_relay)


def choose_readers(
    routers: Mapping[ids.RouterId, ids.DataCentreId],
) -> tuple[ids.RouterId, ...]:
    """Return the readers, spread over as many data centres as possible."""
    ordered = watchers.choose("read the store", routers, len(routers))
    seen: set[ids.DataCentreId] = set()
    first, others = [], []
    for router in ordered:
        (others if routers[router] in seen else first).append(router)
        seen.add(routers[router])
    return tuple([*first, *others][:READERS])


class SourceReport(msgspec.Struct, frozen=True):
    """The state of the store as last reported by another router.

    Attributes
    ----------
    read_at : float
        Time of the store's last answer, on this router's clock, in seconds.
    is_away : bool
        Whether the store answers neither the source nor the source's own sources.
    received_at : float
        Time at which the report arrived.
    """

    read_at: float
    is_away: bool
    received_at: float


class Relays:
    """Sources of one router, their last reports, and whether to read the store itself.

    Attributes
    ----------
    duties : Duties

    Parameters
    ----------
    own : RouterId
    now : float
        Start time of this router, in seconds.
    startup_delay : float
        Seconds to wait for reports, within STARTUP_DELAY_SECONDS.
    """

    def __init__(self, own: ids.RouterId, now: float, startup_delay: float) -> None:
        self._reports: dict[ids.RouterId, SourceReport] = {}
        self._settled_at = now + SETTLE_SECONDS
        self._startup_delay_until = now + startup_delay
        self.duties = Duties((own,), (), is_reader=True, is_relay=True)

    def set_duties(self, duties: Duties, *, is_settled: bool = False) -> None:
        """Set the duties.

        Parameters
        ----------
        is_settled : bool
            Whether the duties are based on the store's list of routers, or there are
            no other routers: no need to wait for others.
        """
        self.duties = duties
        if is_settled:
            self._settled_at = float("-inf")

    def record_report(
        self, source: ids.RouterId, age: float, now: float, *, is_away: bool
    ) -> None:
        """Record a report; ``age`` is the age of its data, in seconds."""
        self._reports[source] = SourceReport(now - age, is_away, now)

    def expire_reports(self, now: float) -> None:
        """Drop old reports."""
        self._reports = {
            source: report
            for source, report in self._reports.items()
            if now - report.read_at < REPORT_EXPIRY_SECONDS
        }

    def read_at(self) -> float:
        """Return the time of the store's last answer to any source; -1e9 if none."""
        return max((report.read_at for report in self._reports.values()), default=-1e9)

    def is_fresh(self, now: float) -> bool:
        """Whether some source has reported recent data of the store."""
        limit = FRESH_SECONDS_RELAYS if self.duties.is_relay else FRESH_SECONDS_OTHERS
        return now - self.read_at() <= limit

    def must_subscribe(self, source: ids.RouterId, asked_at: float, now: float) -> bool:
        """Whether to renew the subscription to a source, last sent at ``asked_at``."""
        report = self._reports.get(source)
        is_silent = report is None or now - report.received_at > FRESH_SECONDS_RELAYS
        return now - asked_at >= (
            SUBSCRIBE_PERIOD_SILENT_SECONDS if is_silent else SUBSCRIBE_PERIOD_SECONDS
        )

    def is_away(self) -> bool:
        """Whether there are reports and all say that the store does not answer."""
        return bool(self._reports) and all(
            report.is_away for report in self._reports.values()
        )

    def coalesce_seconds(self) -> float:
        """Return how long to coalesce changes before the next watch of the store."""
        return READER_COALESCE_SECONDS if self.duties.is_reader else COALESCE_SECONDS

    def must_read(self, now: float) -> bool:
        """Whether this router has to read the store itself."""
        if self.duties.is_reader:
            return now >= self._settled_at
        return now >= self._startup_delay_until and not self.is_fresh(now)
