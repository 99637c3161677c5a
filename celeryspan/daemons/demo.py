"""The command ``demo``: runs three routers with stand-in servers in one process."""

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
"""How long callers send requests: about 300 to the model and as many calls of the gate
desk."""

REFRESH_SECONDS = 0.25

FLOOD_CALLERS = 40
"""Callers of the flooding account: more than twice the slots of all engines."""

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
"""Minimum width of the output, in characters, so that no column is truncated."""

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


class Summary(msgspec.Struct, frozen=True):
    """Results of the demo, printed as JSON on the last line of the output."""

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
    """Runs a fleet with simulated callers and records their requests.

    Attributes
    ----------
    asks : list of CallerRequest
        All requests of the callers.
    calls : list of dict
        All calls that the gate desk servers executed.
    """

    def __init__(self, console: rich.console.Console) -> None:
        self.asks: list[callers.CallerRequest] = []
        self.calls: list[dict] = []
        self._console = console
        self._started_at = time.monotonic()
        self._fleet = fleet.Fleet(PLAN)
        self._sampler: fairness.Sampler | None = None

    def run(self, send_seconds: float) -> None:
        """Start the fleet, send requests for this time, await the answers and stop."""
        self._fleet.start()
        try:
            elapsed = time.monotonic() - self._started_at
            self._console.print(f"{PLAN.routers} routers ready after {elapsed:.1f} s")
            self._send(send_seconds)
        finally:
            self._fleet.stop()
        self.calls = [call for gate in self._fleet.gates for call in gate.journal]

    def summarise(self) -> Summary:
        """Summarise the outcomes of the callers and the journals of the servers."""
        outcomes = collections.Counter(ask.outcome for ask in self.asks)
        return Summary(
            asked=len(self.asks),
            answered=outcomes[callers.Outcome.ANSWERED],
            not_run=outcomes[callers.Outcome.NOT_RUN],
            unknown=outcomes[callers.Outcome.UNKNOWN],
            incomplete=outcomes[callers.Outcome.INCOMPLETE],
            ran_twice=count_ran_twice(self.calls),
            gap=round(self._sampler.gap.greatest, 1),
            utilisation=round(self._sampler.utilisation, 3),
            seconds=round(time.monotonic() - self._started_at, 1),
        )

    def _send(self, seconds: float) -> None:
        generator = callers.Callers(LOADS, self._fleet.addresses)
        self._sampler = fairness.Sampler(generator, self._fleet.engines, PLAN.weights)
        self.asks = generator.requests
        generator.start()
        self._sampler.start()
        self._show_progress(seconds)
        self._sampler.stop()
        generator.stop()

    def _show_progress(self, seconds: float) -> None:
        started_at = time.monotonic()
        live = rich.live.Live(console=self._console, auto_refresh=False, transient=True)
        with live:
            while (elapsed := time.monotonic() - started_at) < seconds:
                asks = list(self.asks)
                ended = sum(bool(ask.ended_at) for ask in asks)
                waiting = sum(ask.is_waiting for ask in asks)
                text = f"asked {len(asks)}  ended {ended}  waiting {waiting}"
                live.update(f"{elapsed:4.1f} s  {text}", refresh=True)
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
    """Run three routers with stand-in servers and show the service of each account.

    A reduced version of the Vrbický example with four model engines and two servers of
    the gate desk; one client account floods them. The last line is a JSON object. Exits
    with 1 if an answer was incomplete, or if a clearance was executed twice or after
    its caller received "not-run".
    """
    console = rich.console.Console(highlight=False)
    console.width = max(console.width, TABLE_WIDTH)
    with open(values.log, "a", encoding="utf-8", buffering=1) as log:
        events.open_log(log)
        demo = Demo(console)
        demo.run(values.send_seconds)
        console.print(make_table(demo.asks))
        violations = list_violations(demo.asks, demo.calls)
        for line in violations:
            console.print(line)
        summary = demo.summarise()
        print(json.dumps(msgspec.structs.asdict(summary)), flush=True)
    return registry.Exit.FAILED if violations else registry.Exit.DONE


def list_violations(asks: list[callers.CallerRequest], calls: list[dict]) -> list[str]:
    """Return one line for each violated guarantee."""
    executed = {call["path"].rsplit("/", 1)[-1] for call in calls}
    lines = []
    for ask in asks:
        if ask.outcome is callers.Outcome.INCOMPLETE:
            lines.append(f"incomplete: {ask.account} {ask.marker}: {ask.note}")
        if ask.outcome is callers.Outcome.NOT_RUN and ask.marker in executed:
            lines.append(f"reported not-run, but executed: {ask.account} {ask.marker}")
    ran_twice = count_ran_twice(calls)
    if ran_twice:
        lines.append(f"executed more than once: {ran_twice} clearances")
    return lines


def count_ran_twice(calls: list[dict]) -> int:
    """Return the number of clearances that were executed more than once."""
    paths = collections.Counter(call["path"] for call in calls)
    return sum(count > 1 for count in paths.values())


def make_table(asks: list[callers.CallerRequest]) -> rich.table.Table:
    """Return a table with one row for each client account."""
    table = rich.table.Table(box=None)
    for column in COLUMNS:
        table.add_column(column, justify="left" if not table.columns else "right")
    for account in sorted({ask.account for ask in asks}):
        account_asks = [ask for ask in asks if ask.account == account]
        outcomes = collections.Counter(ask.outcome for ask in account_asks)
        waits = sorted(
            ask.first_byte_at - ask.sent_at for ask in account_asks if ask.first_byte_at
        )
        table.add_row(
            account,
            str(len(account_asks)),
            *(str(outcomes[outcome]) for outcome in SHOWN_OUTCOMES),
            f"{statistics.median(waits):.2f}" if waits else "-",
            f"{waits[int(len(waits) * 0.99)]:.2f}" if waits else "-",
            f"{sum(ask.units for ask in account_asks):.0f}",
        )
    return table
