"""How a pool of many backend servers is divided among several homes.

Load answered: a service with 56 model engines gets over a thousand requests a second in
a peak, each of which is four messages to the home that decides. One home then uses all
of its processor: requests wait for its word until their callers give up, while the
engines idle. Served by one home, 66 routers answered one in seven requests in time.

A pool is cut into shards of some seven servers. Each shard has its own home and its own
ledger; a router sends a request to the shard of its prompt's shared parts, so that each
part is kept by the engines of one shard.

* The number of shards is a power of two, and shards are nested: shard ``i`` of four is
  shards ``i`` and ``i + 4`` of eight. When servers crash and come back, so that the
  number changes, half of the homes and most of what they know stay.
* Any router works out the same shards from the list of servers, and the same homes from
  the membership. Where lists differ for a moment two homes may place at one server:
  order is lost then, outcomes are not.
* Homes are on the largest VMs: the ledger's work grows with what the whole fleet is
  asked for, and a small VM has little left beside its own callers.
* A hot part fills the engines of its shard. Homes say with each answer how long
  requests wait there, and a router sends a request elsewhere when that is worth reading
  its shared parts again, so that no engine idles while requests wait for another.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import TYPE_CHECKING

import msgspec
import xxhash

from celeryspan import ids, states
from celeryspan.decisions import engines, homes, placing

if TYPE_CHECKING:
    from celeryspan.wire import messages

SERVERS_PER_SHARD = 7
"""Servers of one shard, between 5 and 10 as their number changes: enough to set one
apart for long prompts, and few enough that a home decides for at most 250 requests a
second, a third of half a core as the platform counts it."""

SPLIT_SERVERS_MIN = 15
"""Below this many servers one home sees them all and keeps long prompts apart best."""

PRESSURE_TTL_SECONDS = 1.5
"""What a home has said of its waiting time counts for nothing after this long: a router
that sends a shard nothing hears nothing of it."""

RECENT_SHARD_SECONDS = 5.0
"""A part that this router has sent to a shard is taken to be kept there for so long.
Half of all drafts about one subject were served in 95 of 100 cases when each of them
was charged for reading the part in its second shard (emulated engines)."""

RECENT_PARTS_MAX = 4_000
"""Parts whose shards are remembered: those of five seconds at 800 requests a second."""

CORES_STEP = 0.25

NOT_BUSY_CORES_SHARE_MIN = 0.5
"""Part of all cores that routers which are not busy must have to keep all ledgers."""

UNKNOWN_CORES: Mapping[ids.RouterId, float] = {}

SHARD_HASH_SEEDS = (0, 1)
"""A part's first and second shard; hot parts overflow to the second before others, so
that they are read again in one more shard and not in all."""


def count_shards(servers: int) -> int:
    """Return the number of shards for so many servers, a power of two."""
    if servers < SPLIT_SERVERS_MIN:
        return 1
    return 2 ** max(0, round(math.log2(servers / SERVERS_PER_SHARD)))


class Division(msgspec.Struct, frozen=True):
    """How the servers of one service are divided now.

    Attributes
    ----------
    shards : mapping
        The shard of each server.
    """

    count: int
    shards: Mapping[ids.ServerId, int]


SINGLE_SHARD = Division(1, {})
"""A service of which no server is known."""


def divide(servers: Collection[ids.ServerId]) -> Division:
    """Return how the servers of one service are divided."""
    count = count_shards(len(servers))
    return Division(count, split(servers, count))


def split(servers: Iterable[ids.ServerId], count: int) -> dict[ids.ServerId, int]:
    """Return the shard of each server; shards differ by a few servers at most.

    The servers are halved again and again. A server goes to the half that its hash
    names, or to the other one if that half is full, so that one that joins or leaves
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
    """Return the name of one shard of a service's pool."""
    return ids.PoolId(f"{service}#{count}#{shard}")


def parse_pool(pool: ids.PoolId) -> tuple[ids.ServiceId, int, int]:
    """Return service, number of shards and shard; raises ValueError."""
    service, count, shard = pool.rsplit("#", 2)
    return ids.ServiceId(service), int(count), int(shard)


def find_homes(
    service: ids.ServiceId,
    count: int,
    routers: Collection[ids.RouterId],
    cores: Mapping[ids.RouterId, float] = UNKNOWN_CORES,
) -> tuple[ids.RouterId, ...]:
    """Return the home of each shard, on the VMs that are least used up by it.

    Of equal VMs each is home once before one is home twice; a hash chooses among them.
    The home of a shard does not hang on the number of shards.

    Parameters
    ----------
    cores : mapping
        Processor time of each router's VM, in cores; one core where it is not known.
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
    """Return the routers that take part; those that stop hand over."""
    leaving = states.MemberState.LEAVING
    return [member for member in members if member.state is not leaving]


def list_hosts(running: Collection[messages.Member]) -> dict[ids.RouterId, float]:
    """Return the routers that may be homes, and how many cores each has.

    Those whose processors have no time left hand over too, unless they are so many
    that the others would be used up as well.
    """
    calm = [member for member in running if not member.is_busy]
    enough = sum(member.cores for member in running) * NOT_BUSY_CORES_SHARE_MIN
    if sum(member.cores for member in calm) < enough:
        calm = list(running)
    return {member.router: member.cores for member in calm}


def round_cores(cores: float) -> float:
    """Return a VM's size; VMs that hardly differ are alike."""
    return max(CORES_STEP, round(cores / CORES_STEP) * CORES_STEP)


def rank_shards(key: str, count: int) -> tuple[int, ...]:
    """Return the shards that a prompt's shared parts belong to, the first one first."""
    mask = count - 1
    return tuple(
        dict.fromkeys(_hash(f"{seed} {key}") & mask for seed in SHARD_HASH_SEEDS)
    )


def find_affinity(ask: messages.SlotRequest) -> tuple[str, float]:
    """Return the key of a request's shared parts, and what reading them again costs.

    The last part belongs to the request itself or its session. The cost is in seconds
    of waiting, weighed as it is between the servers of one shard.
    """
    if not ask.parts:
        return ask.request, 0.0
    shared = ask.parts[:-1] or ask.parts
    tokens = sum(part.tokens for part in ask.parts[:-1])
    read = engines.EngineModel().read_seconds(tokens, 0)
    return shared[-1].part, placing.PREFILL_WEIGHT * read


def _hash(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())


class Pressure(msgspec.Struct, frozen=True):
    """What a home has said of its shard.

    Attributes
    ----------
    seconds : float
        How long a request that comes now waits for a place.
    """

    seconds: float
    received_at: float


class Pressures:
    """How long requests wait in each shard, as one router has heard lately."""

    def __init__(self) -> None:
        self._reports: dict[ids.PoolId, Pressure] = {}
        self._recent_shards: collections.OrderedDict[str, dict[int, float]] = (
            collections.OrderedDict()
        )

    def record(self, pool: ids.PoolId, seconds: float, now: float) -> None:
        """Take in what a home says."""
        self._reports[pool] = Pressure(seconds, now)

    def estimate(self, pool: ids.PoolId, now: float) -> float:
        """Return how long requests wait in a shard; less as the word grows old."""
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
    ) -> int:
        """Return the shard for a request.

        Parameters
        ----------
        key : str
            Names the shared parts of its prompt.
        penalty : float
            What it costs to read these again in another shard, in seconds.
        """
        if count == 1:
            return 0
        recent = self._find_recent_shards(key, now)
        first, *others = rank_shards(key, count)
        waits = [
            self.estimate(name_pool(service, count, shard), now)
            for shard in range(count)
        ]
        least = min(range(count), key=waits.__getitem__)
        best, cost = first, waits[first]
        for shard in (*others, *recent, least):
            if shard >= count:
                continue  # Remembered from when there were more shards.
            charge = 0.0 if shard in recent else penalty
            if waits[shard] + charge < cost:
                best, cost = shard, waits[shard] + charge
        self._record_shard(key, best, now)
        return best

    def _find_recent_shards(self, key: str, now: float) -> list[int]:
        """Return the shards to which this router has sent a part lately."""
        used = self._recent_shards.get(key, {})
        return [shard for shard, at in used.items() if now - at < RECENT_SHARD_SECONDS]

    def _record_shard(self, key: str, shard: int, now: float) -> None:
        self._recent_shards.setdefault(key, {})[shard] = now
        self._recent_shards.move_to_end(key)
        if len(self._recent_shards) > RECENT_PARTS_MAX:
            self._recent_shards.popitem(last=False)
