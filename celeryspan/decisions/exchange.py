"""When a router must tell the homes how much service it has given.

Load pattern: thousands of requests stream at once; telling each step would cost more
than the requests, telling nothing would make each home fair on its own only.

Without it an account's service through other homes stays unseen, and the gap grows
with the number of homes.

Two rules stand in a registry: a fixed period, and a bound of k units of unreported
service of accounts that are backlogged. ``docs/design/exchange.md`` holds the figures.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from celeryspan.decisions import sharing

# Seconds between two reports of one account under the fixed period.
PERIOD_SECONDS = 0.5

# Unreported cost units of one account under the bound.
BOUND_UNITS = 500.0

# Each account is told at least this often, so that a home that has lost its state or
# a message learns what an idle account has received.
REFRESH_SECONDS = 5.0


class Rule(Protocol):
    """Decides which accounts are due."""

    def is_due(self, unreported: float, age: float, colliding: bool) -> bool:
        """Return whether an account must be told.

        Parameters
        ----------
        unreported : float
            Service since the last report, in cost units.
        age : float
            Seconds since the last report.
        colliding : bool
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
class Period:
    """Tell each account once per period, in seconds."""

    def __init__(self, seconds: float = PERIOD_SECONDS) -> None:
        self._seconds = seconds

    def is_due(self, unreported: float, age: float, colliding: bool) -> bool:
        """Return whether the period is over."""
        return unreported > 0.0 and age >= self._seconds


@register("units")
class Units:
    """Tell an account when its colliding unreported service exceeds k cost units."""

    def __init__(self, units: float = BOUND_UNITS) -> None:
        self._units = units

    def is_due(self, unreported: float, age: float, colliding: bool) -> bool:
        """Return whether the bound is passed, or the refresh is due."""
        if colliding and unreported > self._units:
            return True
        return unreported > 0.0 and age >= REFRESH_SECONDS


class Exchange:
    """Remembers what was told and finds what must be told next."""

    def __init__(self, rule: Rule) -> None:
        self._rule = rule
        self._told: dict[sharing.Key, tuple[float, float]] = {}

    def find_due(
        self,
        units: dict[sharing.Key, float],
        backlogged: Collection[sharing.Key],
        now: float,
    ) -> tuple[sharing.Key, ...]:
        """Return the (service, account) pairs to tell now, and count them as told.

        Parameters
        ----------
        units : dict
            This router's own growing counters, in cost units.
        backlogged : collection
            Pairs that wait anywhere, as far as this router knows.
        now : float
            Monotonic seconds.
        """
        due = []
        for key, value in units.items():
            old, when = self._told.get(key, (0.0, 0.0))
            if self._rule.is_due(value - old, now - when, key in backlogged):
                due.append(key)
                self._told[key] = (value, now)
        return tuple(due)

    def forget(self) -> None:
        """Tell everything again: a home is new or has lost its state."""
        self._told.clear()
