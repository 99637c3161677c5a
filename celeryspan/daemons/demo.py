"""The command ``demo``: three routers and stand-ins in one process."""

from __future__ import annotations

import collections
import json
import os
import statistics
import time

import msgspec
import rich.console
import rich.live
import rich.table
from absl import flags

from celeryspan import events
from celeryspan.daemons import registry
from standins import callers, fairness, fleet

SEND_SECONDS = 12.0
"""How long the callers send: some 300 requests of the model and as many calls."""

REFRESH_SECONDS = 0.25

FLOOD_CALLERS = 40
"""Callers of the flooding account: more than twice all slots of the engines."""

PLAN = fleet.FleetOptions(
    accounts=(
        "airline-modra",
        "airline-severni",
        "handler-kolo",
        "night-planning",
        "ruzyne-gate-desk",
        "ruzyne-tugs",
    ),
    weights={"ruzyne-gate-desk": 2.0},
)

LOADS = [
    callers.Workload("airline-modra", FLOOD_CALLERS),
    callers.Workload("airline-severni", 6),
    callers.Workload("handler-kolo", 6),
    callers.Workload("night-planning", 2, pause_seconds=1.0),
    callers.Workload("ruzyne-gate-desk", 8),
    callers.Workload("ruzyne-gate-desk", 2, 0.1, fleet.GATE),
    callers.Workload("ruzyne-tugs", 2, 0.1, fleet.GATE),
]

TABLE_WIDTH = 100
"""Least width of the output, in characters, so that no column is cut."""

COLUMNS = (
    "client account",
    "asked",
    "answered",
    "not-run",
    "unknown",
    "wait median s",
    "wait p99 s",
    "service received",
)

SHOWN_OUTCOMES = (
    callers.Outcome.ANSWERED,
    callers.Outcome.NOT_RUN,
    callers.Outcome.UNKNOWN,
)


class Verdict(msgspec.Struct, frozen=True):
    """What the demo has found; the last line of its output."""

    asked: int
    answered: int
    not_run: int
    unknown: int
    incomplete: int
    ran_twice: int
    gap: float
    utilisation: float
    seconds: float


class Demo:
    """A fleet, its callers and what is measured of them.

    Attributes
    ----------
    asks : list of CallerRequest
        Every request of the callers.
    calls : list of dict
        Every call that the gate desk has carried out.
    """

    def __init__(self, console: rich.console.Console) -> None:
        self.asks: list[callers.CallerRequest] = []
        self.calls: list[dict] = []
        self._console = console
        self._began = time.monotonic()
        self._fleet = fleet.Fleet(PLAN)
        self._sampler: fairness.Sampler | None = None

    def run(self, send_seconds: float) -> None:
        """Start everything, send for some seconds, wait for the answers, stop."""
        self._fleet.start()
        try:
            passed = time.monotonic() - self._began
            self._console.print(f"{PLAN.routers} routers serve after {passed:.1f} s")
            self._send(send_seconds)
        finally:
            self._fleet.stop()
        self.calls = [call for gate in self._fleet.gates for call in gate.journal]

    def judge(self) -> Verdict:
        """Count what the callers got and what the journals hold."""
        outcomes = collections.Counter(ask.outcome for ask in self.asks)
        return Verdict(
            asked=len(self.asks),
            answered=outcomes[callers.Outcome.ANSWERED],
            not_run=outcomes[callers.Outcome.NOT_RUN],
            unknown=outcomes[callers.Outcome.UNKNOWN],
            incomplete=outcomes[callers.Outcome.INCOMPLETE],
            ran_twice=count_ran_twice(self.calls),
            gap=round(self._sampler.gap.greatest, 1),
            utilisation=round(self._sampler.utilisation, 3),
            seconds=round(time.monotonic() - self._began, 1),
        )

    def _send(self, seconds: float) -> None:
        asking = callers.Callers(LOADS, self._fleet.addresses)
        self._sampler = fairness.Sampler(asking, self._fleet.engines, PLAN.weights)
        self.asks = asking.requests
        asking.start()
        self._sampler.start()
        self._show_progress(seconds)
        self._sampler.stop()
        asking.stop()

    def _show_progress(self, seconds: float) -> None:
        began = time.monotonic()
        live = rich.live.Live(console=self._console, auto_refresh=False, transient=True)
        with live:
            while (passed := time.monotonic() - began) < seconds:
                seen = list(self.asks)
                ended = sum(bool(ask.ended_at) for ask in seen)
                waiting = sum(ask.is_waiting for ask in seen)
                text = f"asked {len(seen)}  ended {ended}  waiting {waiting}"
                live.update(f"{passed:4.1f} s  {text}", refresh=True)
                time.sleep(REFRESH_SECONDS)


def _define(values: flags.FlagValues) -> None:
    flags.DEFINE_float(
        "send_seconds",
        SEND_SECONDS,
        "How long callers send.",
        lower_bound=1.0,
        flag_values=values,
    )
    flags.DEFINE_string(
        "log", os.devnull, "File for the routers' log.", flag_values=values
    )


@registry.command("demo", define=_define)
def run(arguments: list[str], values: flags.FlagValues) -> registry.Exit:
    """Run three routers and stand-ins on loopback, and show what accounts receive.

    The Vrbický example cut down: four model engines and two servers of the gate desk;
    one client account floods. The last line is one JSON object. Exits with 1 if an
    answer was incomplete, or a clearance was carried out twice or after a refusal that
    said "not run".
    """
    console = rich.console.Console(highlight=False)
    console.width = max(console.width, TABLE_WIDTH)
    with open(values.log, "a", encoding="utf-8", buffering=1) as log:
        events.open_log(log)
        demo = Demo(console)
        demo.run(values.send_seconds)
        console.print(make_table(demo.asks))
        faults = list_faults(demo.asks, demo.calls)
        for line in faults:
            console.print(line)
        verdict = demo.judge()
        print(json.dumps(msgspec.structs.asdict(verdict)), flush=True)
    return registry.Exit.FAILED if faults else registry.Exit.DONE


def list_faults(asks: list[callers.CallerRequest], calls: list[dict]) -> list[str]:
    """Return one line for each promise that was broken."""
    carried_out = {call["path"].rsplit("/", 1)[-1] for call in calls}
    lines = []
    for ask in asks:
        if ask.outcome is callers.Outcome.INCOMPLETE:
            lines.append(f"incomplete: {ask.account} {ask.marker}: {ask.note}")
        if ask.outcome is callers.Outcome.NOT_RUN and ask.marker in carried_out:
            lines.append(f"told not-run, but carried out: {ask.account} {ask.marker}")
    ran_twice = count_ran_twice(calls)
    if ran_twice:
        lines.append(f"carried out more than once: {ran_twice} clearances")
    return lines


def count_ran_twice(calls: list[dict]) -> int:
    """Return how many clearances a journal holds more than once."""
    paths = collections.Counter(call["path"] for call in calls)
    return sum(count > 1 for count in paths.values())


def make_table(asks: list[callers.CallerRequest]) -> rich.table.Table:
    """Return a table with one line for each client account."""
    table = rich.table.Table(box=None)
    for column in COLUMNS:
        table.add_column(column, justify="left" if not table.columns else "right")
    for account in sorted({ask.account for ask in asks}):
        own = [ask for ask in asks if ask.account == account]
        outcomes = collections.Counter(ask.outcome for ask in own)
        waits = sorted(
            ask.first_byte_at - ask.sent_at for ask in own if ask.first_byte_at
        )
        table.add_row(
            account,
            str(len(own)),
            *(str(outcomes[outcome]) for outcome in SHOWN_OUTCOMES),
            f"{statistics.median(waits):.2f}" if waits else "-",
            f"{waits[int(len(waits) * 0.99)]:.2f}" if waits else "-",
            f"{sum(ask.units for ask in own):.0f}",
        )
    return table
