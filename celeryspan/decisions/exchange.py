"""When a router must tell the homes how much service it has given.

Load pattern: thousands of requests stream at once; telling each step would cost more
than the requests, telling nothing would make each home fair on its own only.

Without it an account's service through other homes stays unseen, and the gap grows
with the number of homes.

Two rules stand in a registry: a fixed period, and a bound of k units of unreported
service of accounts that are backlogged. ``docs/design/exchange.md`` holds the figures.
"""

from __future__ import annotations

import enum
import math
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from celeryspan import ids
    from celeryspan.decisions import sharing

# Seconds between two reports of one account under the fixed period.
REPORT_PERIOD_SECONDS = 0.5

# Unreported cost units of one account under the bound: half a mean request of a
# language model. At 500 the gap grew by a fifth, at 2,000 it grew to 2.7 times, while
# counters are a third of all control traffic at 200 already.
MAX_UNREPORTED_UNITS = 200.0

# Each account is told at least this often, so that a home that has lost its state or
# a message learns what an idle account has received.
REFRESH_SECONDS = 5.0


# Seconds in which changes of a queue that is known to wait are put together.
DEMAND_BATCH_SECONDS = 0.1

# Seconds in which the first home may grant before all are told: two round trips
# between data centres.
ESCALATE_SECONDS = 0.005

# Seconds after which a sample of homes that granted nothing is replaced.
RESAMPLE_SECONDS = 0.1


class Stage(enum.Enum):
    """How widely the demand of an account is told."""

    NONE = "none"
    ONE = "one"
    ALL = "all"


class Rule(Protocol):
    """Decides which accounts are due."""

    def is_due(self, unreported: float, age: float, contended: bool) -> bool:
        """Return whether an account must be told.

        Parameters
        ----------
        unreported : float
            Service since the last report, in cost units.
        age : float
            Seconds since the last report.
        contended : bool
            Whether the account is backlogged at a home, so that its service competes.
        """


RULES: dict[str, Callable[[float], Rule]] = {}


def register(name: str) -> Callable[[Callable[[float], Rule]], Callable[[float], Rule]]:
    """Enter a rule under a name."""

    def enter(maker: Callable[[float], Rule]) -> Callable[[float], Rule]:
        RULES[name] = maker
        return maker

    return enter


@register("period")
class PeriodicRule:
    """Tell each account once per period, in seconds."""

    def __init__(self, seconds: float = REPORT_PERIOD_SECONDS) -> None:
        self._seconds = seconds

    def is_due(self, unreported: float, age: float, contended: bool) -> bool:
        """Return whether the period is over."""
        return unreported > 0.0 and age >= self._seconds


@register("units")
class ThresholdRule:
    """Tell an account when its contended unreported service exceeds k cost units."""

    def __init__(self, units: float = MAX_UNREPORTED_UNITS) -> None:
        self._units = units

    def is_due(self, unreported: float, age: float, contended: bool) -> bool:
        """Return whether the bound is passed, or the refresh is due."""
        if contended and unreported > self._units:
            return True
        return unreported > 0.0 and age >= REFRESH_SECONDS


class CounterReporter:
    """Remembers what was told and finds what must be told next."""

    def __init__(self, rule: Rule) -> None:
        self._rule = rule
        self._reported: dict[sharing.Key, tuple[float, float]] = {}

    def find_due(
        self,
        units: dict[sharing.Key, float],
        backlogged: Collection[sharing.Key] | None,
        now: float,
    ) -> tuple[sharing.Key, ...]:
        """Return the (service, account) pairs to tell now, and count them as told.

        Parameters
        ----------
        units : dict
            This router's own growing counters, in cost units.
        backlogged : collection or None
            Pairs that wait anywhere; None if that is not known, so that the service
            of every account may collide. A router that is home of no server of a
            service does not know: with its own view alone it told nothing for
            ``REFRESH_SECONDS`` and the gap grew sixfold.
        now : float
            Monotonic seconds.
        """
        due = []
        for key, value in units.items():
            old, when = self._reported.get(key, (0.0, -math.inf))
            is_contended = backlogged is None or key in backlogged
            if self._rule.is_due(value - old, now - when, is_contended):
                due.append(key)
                self._reported[key] = (value, now)
        return tuple(due)

    def forget(self, service: ids.ServiceId | None = None) -> None:
        """Tell everything again: a home is new or has lost its state.

        Parameters
        ----------
        service : ServiceId or None
            Only the accounts of one service, or of all.
        """
        for key in list(self._reported):
            if service is None or key[0] == service:
                del self._reported[key]


class DemandReporter:
    """Decides which homes must hear how much waits at this router, and when.

    What a home believes is followed here: the last report less the requests sent with
    its grants. A home is told at once when it believes that nothing waits and
    something does, or the reverse; other changes wait for ``DEMAND_BATCH_SECONDS``.

    A request that finds its account without a queue is told to one home only. If that
    one grants nothing within ``ESCALATE_SECONDS``, all homes hear (a sample of them in
    a large service, renewed each ``RESAMPLE_SECONDS``). Telling all at once would make
    each home with a free slot grant one, and all but one of these would come back.
    """

    def __init__(self) -> None:
        self._reported: dict[sharing.Key, dict[ids.RouterId, int]] = {}
        self._waiting_since: dict[sharing.Key, float] = {}

    def find_stage(self, key: sharing.Key, waiting: int, now: float) -> Stage:
        """Return how widely the demand of an account is to be told now."""
        if not waiting:
            self._waiting_since.pop(key, None)
            return Stage.NONE
        since = self._waiting_since.setdefault(key, now)
        return Stage.ONE if now < since + ESCALATE_SECONDS else Stage.ALL

    def find_sample_number(self, key: sharing.Key, now: float) -> int:
        """Return the number of the sample; it grows while nothing is granted."""
        return int((now - self._waiting_since.get(key, now)) / RESAMPLE_SECONDS)

    def is_urgent(self, key: sharing.Key, home: ids.RouterId, waiting: int) -> bool:
        """Return whether a home must hear at once."""
        return (self.reported_waiting(key, home) > 0) != (waiting > 0)

    def reported_waiting(self, key: sharing.Key, home: ids.RouterId) -> int:
        """Return how many requests a home believes to wait here."""
        return self._reported.get(key, {}).get(home, 0)

    def informed_homes(self, key: sharing.Key) -> tuple[ids.RouterId, ...]:
        """Return the homes that believe something waits here."""
        reported = self._reported.get(key, {})
        return tuple(home for home, count in reported.items() if count)

    def record_report(self, key: sharing.Key, home: ids.RouterId, waiting: int) -> None:
        """Note that a home was told."""
        self._reported.setdefault(key, {})[home] = waiting

    def record_use(self, key: sharing.Key, home: ids.RouterId, now: float) -> None:
        """Note that a request was sent with a home's grant."""
        self.record_report(key, home, max(0, self.reported_waiting(key, home) - 1))
        if key in self._waiting_since:
            self._waiting_since[key] = max(
                self._waiting_since[key], now - ESCALATE_SECONDS
            )

    def forget(self, home: ids.RouterId) -> None:
        """Forget what a home was told: it is new or gone."""
        for reported in self._reported.values():
            reported.pop(home, None)
