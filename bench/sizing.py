"""Estimates the load of one node at the target scale from measured slopes."""

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
REQUESTS_PER_SECOND = 140_000 / NODES
TOKENS_PER_SECOND = 35_000_000 / NODES
TOKEN_SECONDS = 0.046
FIRST_TOKEN_SECONDS = 1.9
BACKLOGGED_SHARE = 0.1
CONFIGURATION_CHANGES_PER_SECOND = 7200 / 86_400
RESTARTS_PER_SECOND = (2700 + 130) / 86_400

STREAMS_PER_NODE = (
    TOKENS_PER_SECOND * TOKEN_SECONDS + REQUESTS_PER_SECOND * FIRST_TOKEN_SECONDS
)
"""Streams per node: those that receive tokens and those that await the first one."""

HOMES_PER_MODEL = NODES * (1.0 - (1.0 - 1.0 / NODES) ** (SERVERS / MODELS))
"""Expected number of distinct homes of the servers of one model."""

MODELS_PER_HOME = MODELS * (1.0 - (1.0 - 1.0 / MODELS) ** (SERVERS / NODES))
"""Expected number of models that a node is a home of."""

COUNTER_REPORTS_PER_SECOND = TOKENS_PER_SECOND / reporting.MAX_UNREPORTED_UNITS
"""Counters per node that exceed the reporting threshold each second."""

WAITING_REQUESTS = 500
"""Waiting requests per node: about five seconds of arrivals."""

DATAGRAMS_PER_FACT = gossip.transmit_limit(NODES)
"""Datagrams of a node that one fact is piggybacked on."""

SUM_INTERVAL_SECONDS = 4.0
SUMMING_ROUTERS = 114
"""Routers per region that sum counters, each for some accounts of one model.

There are 6 for each model.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Resources that one mechanism uses on a node.

    Attributes
    ----------
    rate : float
        Items per second, or number of retained items.
    is_built : bool
        False for a mechanism that is only planned.
    is_control : bool
        False for the work on the data of callers, outside the control budget.
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
    """Looks up slopes by name and unit."""

    def __init__(self, slopes: list[fits.Slope]) -> None:
        self._found = {(one.name, one.unit): one for one in slopes}

    def us(self, name: str) -> float:
        """Return microseconds per item."""
        return self._found[name, "us"].slope

    def size(self, name: str) -> float:
        """Return bytes per item."""
        return self._found[name, "bytes"].slope

    def at(self, name: str, unit: str, size: float) -> float:
        """Return the value of the fitted line at a size."""
        one = self._found[name, unit]
        return one.base + one.slope * size


def list_rows(slopes: list[fits.Slope]) -> list[Row]:
    """Return the resources that each mechanism uses on one node."""
    slopes_by_name = Slopes(slopes)
    return [
        *list_messages(slopes_by_name),
        *list_states(slopes_by_name),
        *list_data(slopes_by_name),
    ]


def list_messages(slopes_by_name: Slopes) -> list[Row]:
    """Return the rows of messages between routers."""
    fan_out = COUNTER_REPORTS_PER_SECOND * HOMES_PER_MODEL
    demands = BACKLOGGED_SHARE * REQUESTS_PER_SECOND * 2 * homes.SAMPLE_SIZE
    counter_us = slopes_by_name.us("counter alone in a frame")
    counter_bytes = slopes_by_name.size("counter in a batch")
    probes = 1.0 / probing.PERIOD_SECONDS
    change_us = slopes_by_name.at("configuration change, by servers", "us", SERVERS)
    change_bytes = slopes_by_name.at(
        "configuration change, by servers", "bytes", SERVERS
    )
    facts = 2 * RESTARTS_PER_SECOND * DATAGRAMS_PER_FACT
    return [
        make_rate_row(
            "grants",
            REQUESTS_PER_SECOND,
            slopes_by_name.size("grant"),
            slopes_by_name.us("grant"),
        ),
        make_rate_row(
            "demand of backlogged",
            demands,
            slopes_by_name.size("demand alone in a frame"),
            slopes_by_name.us("demand alone in a frame"),
        ),
        make_rate_row(
            "counters to all homes", fan_out, counter_bytes, counter_us, True
        ),
        list_sums(slopes_by_name),
        make_rate_row(
            "probes",
            probes,
            slopes_by_name.at("probe, by members", "bytes", NODES),
            slopes_by_name.at("probe, by members", "us", NODES),
        ),
        make_rate_row(
            "facts on probes",
            facts,
            slopes_by_name.size("fact on a probe"),
            slopes_by_name.us("fact on a probe"),
        ),
        make_rate_row(
            "configuration", CONFIGURATION_CHANGES_PER_SECOND, change_bytes, change_us
        ),
    ]


def make_rate_row(
    name: str, rate: float, size: float, us: float, is_replaced: bool = False
) -> Row:
    """Return the row of work that arrives at a rate."""
    core = rate * us / 1e6 * 100
    return Row(name, rate, rate * size, core, is_replaced=is_replaced)


def list_sums(slopes_by_name: Slopes) -> Row:
    """Return the row of counters that are summed per region and sent in batches.

    A node sends its counters to the summing routers of its region. Each of these sends
    its sums to its counterparts in the other regions and to the homes of its region.
    """
    frame_bytes = 74.0
    pairs = BACKLOGGED_SHARE * ACCOUNTS * MODELS / SUMMING_ROUTERS
    size = slopes_by_name.size("counter in a batch")
    reports = min(COUNTER_REPORTS_PER_SECOND, STREAMS_PER_NODE / SUM_INTERVAL_SECONDS)
    sent_bytes = reports * size + SUMMING_ROUTERS / SUM_INTERVAL_SECONDS * frame_bytes
    receivers = (REGIONS - 1) + HOMES_PER_MODEL / REGIONS
    share = SUMMING_ROUTERS / (NODES / REGIONS)
    distributed_bytes = (
        share * receivers * (pairs * size + frame_bytes) / SUM_INTERVAL_SECONDS
    )
    handled_counters = (
        2 * reports + share * receivers * pairs / SUM_INTERVAL_SECONDS * 2
    )
    core = handled_counters * slopes_by_name.us("counter alone in a frame") / 1e6 * 100
    return Row(
        "planned: sums by region",
        handled_counters,
        sent_bytes + distributed_bytes,
        core,
        is_built=False,
    )


def list_states(slopes_by_name: Slopes) -> list[Row]:
    """Return the rows of memory usage."""
    sources = STREAMS_PER_NODE / MODELS * MODELS_PER_HOME * NODES
    sums = BACKLOGGED_SHARE * ACCOUNTS * MODELS_PER_HOME * REGIONS
    counter = "client account in counters"
    pair = slopes_by_name.size("pair of service and account in metrics")
    servers = slopes_by_name.at("server in the configuration", "bytes", SERVERS)
    ledger = slopes_by_name.size("server in ledger and window")
    block = slopes_by_name.size("block of a cached prefix")
    entry = slopes_by_name.size("queued request without its body")
    return [
        make_memory_row("members", NODES, slopes_by_name.size("member")),
        make_memory_row("servers in the configuration", SERVERS, servers / SERVERS),
        make_memory_row("homes of servers", SERVERS / NODES, ledger),
        make_memory_row(
            "counters of all routers", sources, slopes_by_name.size(counter), True
        ),
        dataclasses.replace(
            make_memory_row(
                "planned: sums of regions", sums, slopes_by_name.size(counter)
            ),
            is_built=False,
        ),
        make_memory_row("cached blocks", routing.MAX_PAIRS, block),
        make_memory_row("series of metrics", metrics.PAIRS_MAX, pair),
        make_memory_row("waiting requests", WAITING_REQUESTS, entry),
    ]


def make_memory_row(
    name: str, count: float, size: float, is_replaced: bool = False
) -> Row:
    """Return the row of items that are kept in memory."""
    return Row(name, count, megabytes=count * size / 1e6, is_replaced=is_replaced)


def list_data(slopes_by_name: Slopes) -> list[Row]:
    """Return the rows of the data of callers, outside the control budget."""
    rows = [
        make_rate_row(
            "requests passed on",
            REQUESTS_PER_SECOND,
            0.0,
            slopes_by_name.us("request passed on"),
        ),
        make_rate_row(
            "tokens passed on",
            TOKENS_PER_SECOND,
            0.0,
            slopes_by_name.us("token passed on"),
        ),
        make_memory_row("streams", STREAMS_PER_NODE, slopes_by_name.size("stream")),
        make_rate_row(
            "log events",
            REQUESTS_PER_SECOND,
            slopes_by_name.size("log event"),
            slopes_by_name.us("log event"),
        ),
        make_rate_row(
            "histogram samples",
            4 * REQUESTS_PER_SECOND,
            0.0,
            slopes_by_name.us("histogram sample"),
        ),
    ]
    return [dataclasses.replace(row, is_control=False) for row in rows]


def summarise(slopes: list[fits.Slope]) -> dict[str, float]:
    """Return the figures of a node, as built and with the planned mechanisms."""
    rows = list_rows(slopes)
    built = [row for row in rows if row.is_control and row.is_built]
    planned = [row for row in rows if row.is_control and not row.is_replaced]
    tokens = next(row for row in rows if row.name == "tokens passed on")
    result = {
        "streams": round(STREAMS_PER_NODE),
        "token_core_percent": tokens.core_percent,
    }
    for prefix, chosen in (("", built), ("planned_", planned)):
        result |= {
            f"{prefix}control_bytes_per_second": sum(
                row.bytes_per_second for row in chosen
            ),
            f"{prefix}control_core_percent": sum(row.core_percent for row in chosen),
            f"{prefix}control_memory_mb": sum(row.megabytes for row in chosen),
        }
    return {name: round(value, 2) for name, value in result.items()}
