"""All routers divide a pool into the same shards, and overloaded shards recover."""

from __future__ import annotations

import random

import hypothesis
import pytest
from hypothesis import strategies

from bench.engines import loads, site, trial
from celeryspan import ids, states
from celeryspan.decisions import shards
from celeryspan.wire import messages

SERVERS = [f"i-{number:04x}" for number in range(56)]
ROUTERS = [f"edge-{number}" for number in range(66)]

GROWN = site.Site(engines=56, slots=12, memory_tokens=480_000, stride=10)


def make_load(rate: float, **values: object) -> loads.Load:
    """Return prompts that are mostly shared."""
    shape = {
        "name": "plans",
        "objective": 0.6,
        "timeout": 12.0,
        "gap_max": 0.3,
        "shared": (500, 4_900),
        "subjects": 900,
        "own": 2_500,
        "own_spread": 1.0,
        "output": 380,
    }
    return loads.Load(rate=rate, **{**shape, **values})


def play(
    parts: list[loads.Load], policy: str = "shards", seconds: float = 6.0
) -> trial.Result:
    asked = loads.generate_arrivals(parts, seconds, random.Random(5))
    return trial.play(GROWN, asked, seed=5, policy=policy)


@pytest.mark.parametrize(
    ("servers", "count"), [(0, 1), (9, 1), (14, 1), (15, 2), (56, 8), (70, 8)]
)
def test_number_of_shards_depends_on_servers(servers: int, count: int) -> None:
    assert shards.count_shards(servers) == count


@hypothesis.given(strategies.sets(strategies.text(min_size=1), max_size=80))
@hypothesis.settings(derandomize=True, deadline=None)
def test_each_server_has_one_shard_and_sizes_are_similar(servers: set[str]) -> None:
    count = shards.count_shards(len(servers))
    assigned = shards.split(servers, count)
    assert assigned.keys() == servers
    sizes = [list(assigned.values()).count(shard) for shard in range(count)]
    assert max(sizes) - min(sizes) <= count.bit_length()


def test_division_does_not_depend_on_server_order() -> None:
    assert shards.divide(SERVERS) == shards.divide(SERVERS[::-1])


def test_removed_server_moves_few_others() -> None:
    """Servers are replaced one after the other.

    If each replacement moved all other servers to new homes, these homes wouldn't know
    what the engines cache, and the prompts would be prefilled again.
    """
    before = shards.split(SERVERS, 8)
    moved = 0
    for removed in SERVERS:
        after = shards.split([name for name in SERVERS if name != removed], 8)
        moved += sum(after[name] != before[name] for name in after)
    assert moved / len(SERVERS) <= 8


def test_halving_the_shards_merges_pairs() -> None:
    """A quarter of the servers crash briefly, and the number of shards is halved."""
    eight, four = shards.split(SERVERS, 8), shards.split(SERVERS, 4)
    assert all(four[name] == eight[name] % 4 for name in SERVERS)
    homes = shards.find_homes("planner", 8, ROUTERS)
    assert shards.find_homes("planner", 4, ROUTERS) == homes[:4]
    for key in ("a", "b", "c"):
        assert shards.rank_shards(key, 4)[0] == shards.rank_shards(key, 8)[0] % 4


def test_homes_are_distinct_if_routers_suffice() -> None:
    assert len(set(shards.find_homes("planner", 8, ROUTERS))) == 8
    assert set(shards.find_homes("planner", 8, ROUTERS[:3])) == set(ROUTERS[:3])
    assert shards.find_homes("planner", 8, []) == ()


def test_homes_are_on_the_largest_vms() -> None:
    """Guards against homes on small VMs whose own callers use up the processor."""
    cores = dict.fromkeys(ROUTERS, 0.516) | dict.fromkeys(ROUTERS[:3], 2.151)
    homes = shards.find_homes("planner", 8, ROUTERS, cores)
    assert set(homes) == set(ROUTERS[:3])
    assert max(homes.count(router) for router in ROUTERS[:3]) == 3
    assert shards.find_homes("planner", 4, ROUTERS, cores) == homes[:4]


def make_members(busy: int) -> list[messages.Member]:
    """Return the routers as members, the first few of them busy."""
    address = ids.Address("10.0.0.1", 1)
    alive = states.MemberState.ALIVE
    return [
        messages.Member(
            router, 1, alive, "hala-a", address, address, 1, 0, 1.0, index < busy
        )
        for index, router in enumerate(ROUTERS)
    ]


def test_busy_routers_host_no_homes() -> None:
    """Guards against a home on a VM whose processor a flood uses up."""
    hosts = shards.list_hosts(make_members(3))
    assert set(hosts) == set(ROUTERS[3:])


def test_homes_stay_if_most_routers_are_busy() -> None:
    """Guards against moving all homes to the few routers that have no callers."""
    hosts = shards.list_hosts(make_members(len(ROUTERS) - 2))
    assert set(hosts) == set(ROUTERS)


def test_vms_of_similar_size_count_as_equal() -> None:
    cores = {router: 1.0 + 0.001 * index for index, router in enumerate(ROUTERS)}
    homes = shards.find_homes("planner", 8, ROUTERS, cores)
    assert homes == shards.find_homes("planner", 8, ROUTERS)


def test_lost_home_moves_no_other_home() -> None:
    before = shards.find_homes("planner", 8, ROUTERS)
    remaining = [router for router in ROUTERS if router != before[-1]]
    assert shards.find_homes("planner", 8, remaining)[:-1] == before[:-1]


def test_pool_name_round_trips() -> None:
    name = shards.name_pool("a#service", 8, 3)
    assert shards.parse_pool(name) == ("a#service", 8, 3)
    with pytest.raises(ValueError):
        shards.parse_pool("planner")


def test_request_leaves_its_shard_only_if_the_gain_exceeds_the_cost() -> None:
    pressures = shards.Pressures()
    first = shards.rank_shards("part", 8)[0]
    for shard in range(8):
        pressures.record(shards.name_pool("planner", 8, shard), 0.1, 10.0)
    assert pressures.choose("planner", 8, "part", 0.4, 10.0) == first
    pressures.record(shards.name_pool("planner", 8, first), 0.55, 10.0)
    assert pressures.choose("planner", 8, "part", 0.9, 10.0) == first
    elsewhere = pressures.choose("planner", 8, "part", 0.4, 10.0)
    assert elsewhere != first
    assert pressures.choose("planner", 8, "part", 0.9, 10.1) == elsewhere


def test_pressure_report_expires() -> None:
    """A shard was full and is idle now, because all requests go to other shards."""
    pressures = shards.Pressures()
    first = shards.rank_shards("part", 8)[0]
    pressures.record(shards.name_pool("planner", 8, first), 5.0, 10.0)
    assert pressures.choose("planner", 8, "part", 0.1, 10.0) != first
    later = 10.0 + shards.PRESSURE_TTL_SECONDS
    assert pressures.choose("planner", 8, "part", 0.1, later) == first


def test_shards_serve_nearly_as_much_as_one_home() -> None:
    usual = [make_load(100), make_load(300, name="notes", shared=(300, 200), output=22)]
    whole, divided = play(usual, "ledger"), play(usual)
    for kind in ("plans", "notes"):
        assert divided.share_in_time(kind) >= whole.share_in_time(kind) - 0.06
    assert divided.refused <= whole.refused + 0.02 * whole.requests


def test_hot_part_overflows_to_other_shards() -> None:
    """Half of all prompts are suddenly about one subject, whose shard has 7 engines.

    Limited to that shard, they would be refused while seven eighths of the engines
    idle.
    """
    result = play([make_load(150, hot_share=0.5)])
    assert result.share_served("plans") >= 0.97
    assert result.share_in_time("plans") >= 0.75
    assert result.recomputed_tokens <= 0.15 * result.prefilled_tokens


def test_account_with_one_subject_gets_its_share() -> None:
    """Two accounts flood; the prompts of one of them all belong to one shard.

    With fairness within each shard only, it would get an eighth of what the other gets.
    """
    many = make_load(260, accounts=("many",))
    one = make_load(130, accounts=("one",), subjects=1, first_subject=5_000)
    others = make_load(130, accounts=("c", "d"), subjects=400, first_subject=9_000)
    result = play([many, one, others], seconds=9.0)
    got = result.tokens_by_account
    assert got["one"] >= 0.5 * got["many"]
