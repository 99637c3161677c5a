"""Divides a pool of many backend servers among several homes.

In a peak, a service with 56 model engines gets over a thousand requests a second, each
of which is four messages to the home that decides. A single home then uses up its
processor: requests wait for its decision until their callers give up while the engines
idle. With one home, 66 routers answered one in seven requests in time.

A pool is divided into shards of about seven servers. Each shard has its own home and
queue. A router sends a request to the shard that its prompt's shared parts hash to, so
that only the engines of that shard cache them.

* The number of shards is a power of two, and shards are nested: shard ``i`` of four
  consists of shards ``i`` and ``i + 4`` of eight. When servers crash and return, so
  that the number changes, half of the homes and most of their state stay valid.
* All routers derive the same shards from the list of servers and the same homes from
  the membership. While their lists differ, two homes may place requests at one server;
  requests may then be served out of order, but their outcomes stay correct.
* Homes are on the largest VMs: their work grows with the load of the whole fleet, and a
  small VM has little processor time left beside its own callers.
* A hot part fills the engines of its shard. Homes report with each answer how long
  requests wait there. A router sends a request to another shard when the shorter wait
  is worth prefilling its shared parts again, so that no engine idles while requests
  wait for another.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import TYPE_CHECKING

import msgspec
import xxhash

from celeryspan import ids, states
from celeryspan.decisions import engineplacing, engines, homes

if TYPE_CHECKING:
    from celeryspan.wire import messages

SERVERS_PER_SHARD = 7
"""Servers per shard; as their number changes, shards have 5 to 10. That is enough to
dedicate one to long prompts, and few enough that a home decides at most 250 requests a
second, which takes a third of half a core as the platform counts it."""

SPLIT_SERVERS_MIN = 15
"""Below this many servers there is one shard, whose home sees all of them and keeps
long prompts apart best."""

PRESSURE_TTL_SECONDS = 1.5
"""Age at which a reported waiting time expires: a router that sends nothing to a shard
gets no reports from it."""

RECENT_SHARD_SECONDS = 5.0
"""Time for which a part that this router sent to a shard is assumed to be cached there.
With half of all drafts about one subject, only 95 % were served when each was charged
for prefilling the part in its second shard."""

RECENT_PARTS_MAX = 4_000
"""Parts whose recent shards are stored: five seconds at 800 requests a second."""

CORES_STEP = 0.25

NOT_BUSY_CORES_SHARE_MIN = 0.5
"""Share of all cores that routers which are not busy must have to host all homes."""

UNKNOWN_CORES: Mapping[ids.RouterId, float] = {}

SHARD_HASH_SEEDS = (0, 1)
"""Seeds for a part's first and second shard. Hot parts overflow to the second before
any other, so that they are prefilled again in one more shard and not in all."""


def count_shards(servers: int) -> int:
    """Return the number of shards for a number of servers, a power of two."""
    if servers < SPLIT_SERVERS_MIN:
        return 1
    return 2 ** max(0, round(math.log2(servers / SERVERS_PER_SHARD)))


class Division(msgspec.Struct, frozen=True):
    """The shards of one service.

    Attributes
    ----------
    shards : mapping
        The shard of each server.
    """

    count: int
    shards: Mapping[ids.ServerId, int]


SINGLE_SHARD = Division(1, {})
"""Division of a service without known servers."""


def divide(servers: Collection[ids.ServerId]) -> Division:
    """Divide the servers of one service into shards."""
    count = count_shards(len(servers))
    return Division(count, split(servers, count))


def split(servers: Iterable[ids.ServerId], count: int) -> dict[ids.ServerId, int]:
    """Return the shard of each server; shard sizes differ by a few servers at most.

    The servers are halved repeatedly. A server goes to the half selected by its hash,
    or to the other one if that half is full, so that a server that joins or leaves
    moves few others.
    """
    ordered = sorted(servers, key=lambda name: (_hash(name), name))
    found: dict[ids.ServerId, int] = {}
    _halve(ordered, count, 1, 0, found)
    return found


def _halve(
    servers: Sequence[ids.ServerId],
    count: int,
    bit: int,
    shard: int,
    found: dict[ids.ServerId, int],
) -> None:
    if bit >= count:
        found.update(dict.fromkeys(servers, shard))
        return
    capacity = math.ceil(len(servers) / 2)
    halves: tuple[list[ids.ServerId], list[ids.ServerId]] = ([], [])
    for server in servers:
        half = 1 if _hash(server) & bit else 0
        if len(halves[half]) >= capacity:
            half = 1 - half
        halves[half].append(server)
    _halve(halves[0], count, bit * 2, shard, found)
    _halve(halves[1], count, bit * 2, shard + bit, found)


def name_pool(service: ids.ServiceId, count: int, shard: int) -> ids.PoolId:
    """Return the name of the pool for one shard of a service."""
    return ids.PoolId(f"{service}#{count}#{shard}")


def parse_pool(pool: ids.PoolId) -> tuple[ids.ServiceId, int, int]:
    """Return the service, number of shards and shard; raises ValueError."""
    service, count, shard = pool.rsplit("#", 2)
    return ids.ServiceId(service), int(count), int(shard)


def find_homes(
    service: ids.ServiceId,
    count: int,
    routers: Collection[ids.RouterId],
    cores: Mapping[ids.RouterId, float] = UNKNOWN_CORES,
) -> tuple[ids.RouterId, ...]:
    """Return the home of each shard, spreading them by the sizes of the VMs.

    Each shard goes to the VM with the lowest number of homes per core, so that equal
    VMs each get one home before any gets two; a hash breaks ties. A shard's home
    doesn't depend on the number of shards.

    Parameters
    ----------
    cores : mapping
        Processor time of each router's VM, in cores; one core if unknown.
    """
    sizes = {router: round_cores(cores.get(router, 1.0)) for router in routers}
    held: collections.Counter[ids.RouterId] = collections.Counter()
    found: list[ids.RouterId] = []
    for shard in range(count if sizes else 0):
        uses = {router: (held[router] + 1) / size for router, size in sizes.items()}
        least = min(uses.values())
        name = ids.ServerId(f"{service}#{shard}" if shard else service)
        home = homes.find_home(name, [each for each in uses if uses[each] == least])
        assert home is not None
        held[home] += 1
        found.append(home)
    return tuple(found)


def list_running(members: Iterable[messages.Member]) -> list[messages.Member]:
    """Return the routers that are not leaving; leaving routers hand over."""
    leaving = states.MemberState.LEAVING
    return [member for member in members if member.state is not leaving]


def list_hosts(running: Collection[messages.Member]) -> dict[ids.RouterId, float]:
    """Return the routers that may be homes and their cores.

    Busy routers hand over as well, unless the others have too few cores and would be
    overloaded in turn.
    """
    calm = [member for member in running if not member.is_busy]
    enough = sum(member.cores for member in running) * NOT_BUSY_CORES_SHARE_MIN
    if sum(member.cores for member in calm) < enough:
        calm = list(running)
    return {member.router: member.cores for member in calm}


def round_cores(cores: float) -> float:
    """Return a VM's size, rounded so that nearly equal VMs count as equal."""
    return max(CORES_STEP, round(cores / CORES_STEP) * CORES_STEP)


def rank_shards(key: str, count: int) -> tuple[int, ...]:
    """Return the shards that a prompt's shared parts hash to, the first one first."""
    mask = count - 1
    return tuple(
        dict.fromkeys(_hash(f"{seed} {key}") & mask for seed in SHARD_HASH_SEEDS)
    )


def find_affinity(ask: messages.SlotRequest) -> tuple[str, float]:
    """Return the key of a request's shared parts and the cost of prefilling them again.

    The last part belongs to the request itself or to its session and isn't shared. The
    cost is in weighted seconds, as for the servers of one shard.
    """
    if not ask.parts:
        return ask.request, 0.0
    shared = ask.parts[:-1] or ask.parts
    tokens = sum(part.tokens for part in ask.parts[:-1])
    prefill = engines.EngineModel().prefill_seconds(tokens, 0)
    return shared[-1].part, engineplacing.PREFILL_WEIGHT * prefill


def _hash(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())


class Pressure(msgspec.Struct, frozen=True):
    """The load of a shard as reported by its home.

    Attributes
    ----------
    seconds : float
        How long a new request waits for a slot.
    """

    seconds: float
    received_at: float


class Pressures:
    """Waiting times of the shards, as recently reported to one router."""

    def __init__(self) -> None:
        self._reports: dict[ids.PoolId, Pressure] = {}
        self._recent_shards: collections.OrderedDict[str, dict[int, float]] = (
            collections.OrderedDict()
        )

    def record(self, pool: ids.PoolId, seconds: float, now: float) -> None:
        """Store the waiting time reported by a home."""
        self._reports[pool] = Pressure(seconds, now)

    def estimate(self, pool: ids.PoolId, now: float) -> float:
        """Return the waiting time of a shard; it declines with the report's age."""
        found = self._reports.get(pool)
        if found is None:
            return 0.0
        age = now - found.received_at
        return found.seconds * max(0.0, 1.0 - age / PRESSURE_TTL_SECONDS)

    def choose(
        self,
        service: ids.ServiceId,
        count: int,
        key: str,
        penalty: float,
        now: float,
        avoided: Collection[int] = (),
    ) -> int:
        """Return the shard for a request.

        Parameters
        ----------
        key : str
            Identifies the shared parts of its prompt.
        penalty : float
            Cost of prefilling these parts again in another shard, in seconds.
        avoided : collection
            Shards that are chosen only if there are no others.
        """
        if count == 1:
            return 0
        recent = self._find_recent_shards(key, now)
        first, *others = rank_shards(key, count)
        waits = [
            math.inf
            if shard in avoided
            else self.estimate(name_pool(service, count, shard), now)
            for shard in range(count)
        ]
        least = min(range(count), key=waits.__getitem__)
        best, cost = first, waits[first]
        for shard in (*others, *recent, least):
            if shard >= count:
                continue  # Stored while there were more shards.
            charge = 0.0 if shard in recent else penalty
            if waits[shard] + charge < cost:
                best, cost = shard, waits[shard] + charge
        self._record_shard(key, best, now)
        return best

    def _find_recent_shards(self, key: str, now: float) -> list[int]:
        """Return the shards to which this router has recently sent a part."""
        used = self._recent_shards.get(key, {})
        return [shard for shard, at in used.items() if now - at < RECENT_SHARD_SECONDS]

    def _record_shard(self, key: str, shard: int, now: float) -> None:
        self._recent_shards.setdefault(key, {})[shard] = now
        self._recent_shards.move_to_end(key)
        if len(self._recent_shards) > RECENT_PARTS_MAX:
            self._recent_shards.popitem(last=False)
