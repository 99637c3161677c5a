"""A node at the size of the letter, worked out from measured slopes."""

from __future__ import annotations

import dataclasses

from bench import fits
from celeryspan import metrics
from celeryspan.decisions import gossip, homes, probing, reporting, routing

NODES = 1300
SERVERS = 10_000
ACCOUNTS = 760
MODELS = 19
REGIONS = 10
REQUESTS = 140_000 / NODES
TOKENS = 35_000_000 / NODES
TOKEN_SECONDS = 0.046
FIRST_TOKEN_SECONDS = 1.9
BACKLOGGED_SHARE = 0.1
CHANGES = 7200 / 86_400
RESTARTS = (2700 + 130) / 86_400

STREAMS = TOKENS * TOKEN_SECONDS + REQUESTS * FIRST_TOKEN_SECONDS
"""Streams of a node: those that get tokens, and those that wait for the first."""

HOMES = NODES * (1.0 - (1.0 - 1.0 / NODES) ** (SERVERS / MODELS))
"""Expected number of different homes of one model's servers."""

HOME_SERVICES = MODELS * (1.0 - (1.0 - 1.0 / MODELS) ** (SERVERS / NODES))
"""Expected number of models of which a node is a home."""

REPORTS = TOKENS / reporting.MAX_UNREPORTED_UNITS
"""Counters of a node that pass the bound each second."""

WAITING = 500
"""Waiting requests of a node: five seconds of its requests."""

GOSSIP_REPEATS = gossip.transmit_limit(NODES)
"""Datagrams of a node on which one fact rides."""

SUM_SECONDS = 4.0
SUMMING = 114
"""Routers of a region that each sum some accounts of one model: 6 for each model."""


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """What one mechanism takes of a node.

    Attributes
    ----------
    rate : float
        Items a second, or items held.
    is_built : bool
        False for a way that is planned only.
    is_control : bool
        False for what belongs to the callers' bytes.
    """

    name: str
    rate: float
    bytes_per_second: float = 0.0
    core_percent: float = 0.0
    megabytes: float = 0.0
    is_built: bool = True
    is_control: bool = True
    is_replaced: bool = False


class Slopes:
    """Slopes by name and unit."""

    def __init__(self, slopes: list[fits.Slope]) -> None:
        self._found = {(one.name, one.unit): one for one in slopes}

    def us(self, name: str) -> float:
        """Return microseconds for each item."""
        return self._found[name, "us"].slope

    def size(self, name: str) -> float:
        """Return bytes for each item."""
        return self._found[name, "bytes"].slope

    def at(self, name: str, unit: str, size: float) -> float:
        """Return the value of the line at a size."""
        one = self._found[name, unit]
        return one.base + one.slope * size


def list_rows(slopes: list[fits.Slope]) -> list[Row]:
    """Return what each mechanism takes of one node."""
    found = Slopes(slopes)
    return [*list_messages(found), *list_states(found), *list_data(found)]


def list_messages(found: Slopes) -> list[Row]:
    """Return the rows of messages between routers."""
    fan_out = REPORTS * HOMES
    demands = BACKLOGGED_SHARE * REQUESTS * 2 * homes.SAMPLE_SIZE
    counter_us = found.us("counter alone in a frame")
    counter_bytes = found.size("counter in a batch")
    probes = 1.0 / probing.PERIOD_SECONDS
    change_us = found.at("configuration change, by servers", "us", SERVERS)
    change_bytes = found.at("configuration change, by servers", "bytes", SERVERS)
    facts = 2 * RESTARTS * GOSSIP_REPEATS
    return [
        make("grants", REQUESTS, found.size("grant"), found.us("grant")),
        make(
            "demand of backlogged",
            demands,
            found.size("demand alone in a frame"),
            found.us("demand alone in a frame"),
        ),
        make("counters to all homes", fan_out, counter_bytes, counter_us, True),
        list_sums(found),
        make(
            "probes",
            probes,
            found.at("probe, by members", "bytes", NODES),
            found.at("probe, by members", "us", NODES),
        ),
        make(
            "facts on probes",
            facts,
            found.size("fact on a probe"),
            found.us("fact on a probe"),
        ),
        make("configuration", CHANGES, change_bytes, change_us),
    ]


def make(
    name: str, rate: float, size: float, us: float, is_replaced: bool = False
) -> Row:
    """Return the row of work that comes at a rate."""
    core = rate * us / 1e6 * 100
    return Row(name, rate, rate * size, core, is_replaced=is_replaced)


def list_sums(found: Slopes) -> Row:
    """Return the row of counters summed in each region, then told in batches.

    A node sends its counters to the summing routers of its region; each of these tells
    its sums to those of the other regions and to the homes of its region.
    """
    frame = 74.0
    pairs = BACKLOGGED_SHARE * ACCOUNTS * MODELS / SUMMING
    size = found.size("counter in a batch")
    reports = min(REPORTS, STREAMS / SUM_SECONDS)
    sent = reports * size + SUMMING / SUM_SECONDS * frame
    receivers = (REGIONS - 1) + HOMES / REGIONS
    share = SUMMING / (NODES / REGIONS)
    told = share * receivers * (pairs * size + frame) / SUM_SECONDS
    handled = 2 * reports + share * receivers * pairs / SUM_SECONDS * 2
    core = handled * found.us("counter alone in a frame") / 1e6 * 100
    return Row("planned: sums by region", handled, sent + told, core, is_built=False)


def list_states(found: Slopes) -> list[Row]:
    """Return the rows of memory."""
    sources = STREAMS / MODELS * HOME_SERVICES * NODES
    sums = BACKLOGGED_SHARE * ACCOUNTS * HOME_SERVICES * REGIONS
    counter = "client account in counters"
    pair = found.size("pair of service and account in metrics")
    servers = found.at("server in the configuration", "bytes", SERVERS)
    ledger = found.size("server in ledger and window")
    block = found.size("block of a cached prefix")
    entry = found.size("queued request without its body")
    return [
        hold("members", NODES, found.size("member")),
        hold("servers in the configuration", SERVERS, servers / SERVERS),
        hold("homes of servers", SERVERS / NODES, ledger),
        hold("counters of all routers", sources, found.size(counter), True),
        dataclasses.replace(
            hold("planned: sums of regions", sums, found.size(counter)), is_built=False
        ),
        hold("cached blocks", routing.MAX_PAIRS, block),
        hold("series of metrics", metrics.PAIRS_MAX, pair),
        hold("waiting requests", WAITING, entry),
    ]


def hold(name: str, count: float, size: float, is_replaced: bool = False) -> Row:
    """Return the row of something that is held."""
    return Row(name, count, megabytes=count * size / 1e6, is_replaced=is_replaced)


def list_data(found: Slopes) -> list[Row]:
    """Return the rows of the callers' own bytes, outside the budget for control."""
    rows = [
        make("requests passed on", REQUESTS, 0.0, found.us("request passed on")),
        make("tokens passed on", TOKENS, 0.0, found.us("token passed on")),
        hold("streams", STREAMS, found.size("stream")),
        make("log events", REQUESTS, found.size("log event"), found.us("log event")),
        make("histogram samples", 4 * REQUESTS, 0.0, found.us("histogram sample")),
    ]
    return [dataclasses.replace(row, is_control=False) for row in rows]


def summarise(slopes: list[fits.Slope]) -> dict[str, float]:
    """Return the figures of a node: as built, and with the planned ways."""
    rows = list_rows(slopes)
    built = [row for row in rows if row.is_control and row.is_built]
    planned = [row for row in rows if row.is_control and not row.is_replaced]
    tokens = next(row for row in rows if row.name == "tokens passed on")
    result = {"streams": round(STREAMS), "token_core_percent": tokens.core_percent}
    for prefix, chosen in (("", built), ("planned_", planned)):
        result |= {
            f"{prefix}control_bytes_per_second": sum(
                row.bytes_per_second for row in chosen
            ),
            f"{prefix}control_core_percent": sum(row.core_percent for row in chosen),
            f"{prefix}control_memory_mb": sum(row.megabytes for row in chosen),
        }
    return {name: round(value, 2) for name, value in result.items()}
