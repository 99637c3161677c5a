"""Request traces: the file format, and generated traces of the two example fleets."""

from __future__ import annotations

import dataclasses
import json
import pathlib
from typing import Any

import numpy as np

# Exponent of the power law of account sizes; with 16 accounts, the largest three
# send more than half of the load.
SIZE_EXPONENT = 1.1

# Cost hints are wrong by up to this factor in either direction, log-uniformly.
MAX_HINT_FACTOR = 3.0

# Share of requests without a cost hint.
MISSING_HINT_SHARE = 0.1

# Standard deviation of log costs; one request in a hundred costs ten times the mean.
COST_LOG_DEVIATION = 1.2

MEAN_COST_UNITS = 420.0
MAX_COST_UNITS = 6000.0

# Seconds from arrival to deadline; callers of planners and gangs wait this long.
DEADLINE_SECONDS = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Server:
    """A backend server; ``rate`` is the cost units per second of one busy slot."""

    id: str
    service: str
    slots: int
    rate: float


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A failure or topology change at a time, in seconds from the start."""

    at: float
    kind: str
    routers: tuple[int, ...] = ()
    server: str = ""
    factor: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request; ``at`` and ``deadline`` are in seconds from the start."""

    at: float
    account: str
    router: int
    service: str
    cost: float
    hint: float | None
    idempotent: bool
    deadline: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class Trace:
    """A fleet, its faults, and the requests sent to it."""

    routers: int
    link_seconds: float
    servers: tuple[Server, ...]
    accounts: dict[str, float]
    faults: tuple[Fault, ...]
    requests: tuple[Request, ...]


def read(path: pathlib.Path) -> Trace:
    """Read a trace of JSON lines: the fleet first, then one request per line."""
    with path.open() as file:
        header = json.loads(next(file))
        requests = tuple(Request(**json.loads(line)) for line in file if line.strip())
    return Trace(
        header["routers"],
        header["link_seconds"],
        tuple(Server(**item) for item in header["servers"]),
        header["accounts"],
        tuple(_read_fault(item) for item in header["faults"]),
        requests,
    )


def write(trace: Trace, path: pathlib.Path) -> None:
    """Write a trace as JSON lines."""
    header = dataclasses.asdict(trace)
    requests = header.pop("requests")
    lines = [json.dumps(item) for item in (header, *requests)]
    path.write_text("\n".join(lines) + "\n")


def _read_fault(item: dict[str, Any]) -> Fault:
    return Fault(**{**item, "routers": tuple(item.get("routers") or ())})


@dataclasses.dataclass(frozen=True, slots=True)
class Firm:
    """The backend servers of a firm.

    Each service is a tuple of name, number of servers, slots per server, and cost units
    per second and slot. Services that are not models have a rate of 1,000, so that one
    unit is one millisecond of work.
    """

    name: str
    link_seconds: float
    services: tuple[tuple[str, int, int, float], ...]


FIRMS = {
    "vrbicky": Firm(
        "vrbicky",
        0.001,
        (("planner-llm", 9, 16, 25.0), ("gate-desk", 3, 4, 1000.0)),
    ),
    "klippelag": Firm(
        "klippelag",
        0.0015,
        (("lm-pool", 5, 8, 25.0), ("gang-app", 4, 3, 1000.0)),
    ),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Workload:
    """Parameters of a generated trace.

    Attributes
    ----------
    load : float
        Offered load as a multiple of capacity.
    flood_load : float
        Additional load of the first account, as a multiple of capacity.
    on_one_router : bool
        Whether the first account uses a single router and sends as much as all other
        accounts together.
    long_requests : bool
        Whether the second account sends only requests of the maximum cost.
    equal_accounts : bool
        Whether all accounts send the same load.
    burst : bool
        Whether the requests of each ten seconds arrive within the first second.
    """

    load: float = 2.0
    seconds: float = 120.0
    flood_load: float = 0.0
    on_one_router: bool = False
    long_requests: bool = False
    equal_accounts: bool = False
    burst: bool = False
    faults: tuple[Fault, ...] = ()
    routers: int = 6
    accounts: int = 16


def generate(firm: Firm, workload: Workload, seed: int) -> Trace:
    """Generate a trace; the same arguments give the same trace."""
    generator = np.random.default_rng(seed)
    names = [f"account-{index:02}" for index in range(workload.accounts)]
    requests: list[Request] = []
    for service, count, slots, rate in firm.services:
        capacity = count * slots * rate
        for index in range(workload.accounts):
            work = capacity * _load_share(workload, index) * workload.seconds
            router_shares = _router_shares(generator, workload, index)
            requests += _generate_requests(
                generator, workload, names[index], service, work, router_shares
            )
    requests.sort(key=lambda item: (item.at, item.account, item.service))
    servers = tuple(
        Server(f"{service}-{index}", service, slots, rate)
        for service, count, slots, rate in firm.services
        for index in range(count)
    )
    weights = dict.fromkeys(names, 1.0)
    return Trace(
        workload.routers,
        firm.link_seconds,
        servers,
        weights,
        workload.faults,
        tuple(requests),
    )


def _load_share(workload: Workload, index: int) -> float:
    sizes = [
        1.0 if workload.equal_accounts else (1 + item) ** -SIZE_EXPONENT
        for item in range(workload.accounts)
    ]
    if workload.on_one_router:
        sizes[0] = sum(sizes[1:])
    share = workload.load * sizes[index] / sum(sizes)
    return share + (workload.flood_load if index == 0 else 0.0)


def _router_shares(
    generator: np.random.Generator, workload: Workload, index: int
) -> np.ndarray:
    if workload.on_one_router and index == 0:
        return np.eye(workload.routers)[0]
    if workload.flood_load and index == 0:
        return np.full(workload.routers, 1.0 / workload.routers)
    return generator.dirichlet(np.full(workload.routers, 0.5))


def _generate_requests(
    generator: np.random.Generator,
    workload: Workload,
    account: str,
    service: str,
    work: float,
    router_shares: np.ndarray,
) -> list[Request]:
    is_long = workload.long_requests and account.endswith("01")
    mean = MAX_COST_UNITS if is_long else MEAN_COST_UNITS
    count = generator.poisson(work / mean)
    times = np.sort(generator.uniform(0.0, workload.seconds, count))
    if workload.burst:
        times = np.floor(times / 10.0) * 10.0 + (times % 10.0) / 10.0
    costs = generator.lognormal(
        np.log(mean) - COST_LOG_DEVIATION**2 / 2,
        0.0 if is_long else COST_LOG_DEVIATION,
        count,
    ).clip(1.0, MAX_COST_UNITS)
    costs = np.full(count, MAX_COST_UNITS) if is_long else costs
    factors = MAX_HINT_FACTOR ** generator.uniform(-1.0, 1.0, count)
    missing = generator.random(count) < MISSING_HINT_SHARE
    routers = generator.choice(workload.routers, count, p=router_shares)
    idempotent = generator.random(count) < 0.5
    return [
        Request(
            round(float(times[item]), 6),
            account,
            int(routers[item]),
            service,
            round(float(costs[item]), 3),
            None if missing[item] else round(float(costs[item] * factors[item]), 3),
            bool(idempotent[item]),
            round(float(times[item]) + DEADLINE_SECONDS, 6),
        )
        for item in range(count)
    ]
