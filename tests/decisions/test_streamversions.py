"""Streams stay at the software version that began them, in decisions and placing."""

from __future__ import annotations

import random

import hypothesis
import pytest
from hypothesis import stateful, strategies

from celeryspan import catalog, ids, states
from celeryspan.decisions import placing, pools, streamversions
from celeryspan.wire import messages

SERVICE = ids.ServiceId("planner")
ROUTER = ids.RouterId("edge-1")
ENGINE = catalog.Engine(
    slots=2, memory_tokens=500_000, stride=6, moves=True, copy_token_seconds=2e-7
)
HOSTS = tuple(ids.RouterId(f"edge-{number}") for number in range(8))
POOL = ids.PoolId("planner#1#0")
GONE = streamversions.Verdict.VERSION_GONE.value


def make_entry(
    name: str, version: str, *, slots: int = 2, **values: object
) -> catalog.ServerEntry:
    """Return the entry of an engine."""
    return catalog.ServerEntry(
        server=ids.ServerId(name),
        service=SERVICE,
        address=ids.Address("10.0.0.1", 80),
        data_centre=ids.DataCentreId("a"),
        slots=slots,
        is_leaving=False,
        revision=1,
        version=ids.SoftwareVersion(version),
        **values,
    )


def make_ask(
    request: str, version: str = "", *, tokens: int = 500, **values: object
) -> messages.SlotRequest:
    """Return a request, which continues a stream if a version is given."""
    fields = {
        "request": ids.RequestId(request),
        "pool": POOL,
        "account": ids.AccountId("tower"),
        "data_centre": ids.DataCentreId("a"),
        "parts": (messages.PromptPart(f"own-{request}", tokens),),
        "prompt_tokens": tokens,
        "output_tokens": 60,
        "waited": 0.0,
        "objective": 0.6,
        "timeout": 15.0,
        "gap_max": 0.3,
        "stride": 6,
        "excluded": (),
        "version": ids.SoftwareVersion(version),
    }
    return messages.SlotRequest(**{**fields, **values})


def make_pool(*entries: catalog.ServerEntry) -> pools.Pool:
    """Return a pool of engines."""
    pool = pools.Pool(POOL, random.Random(1))
    pool.set_servers(entries, ENGINE)
    return pool


def find_server(answers: list[pools.Answer]) -> str:
    """Return the server of the only answer, or the reason of its refusal."""
    (answer,) = answers
    message = answer.message
    return getattr(message, "server", "") or getattr(message, "reason", "")


def test_loss_of_half_of_the_hosts_leaves_most_origins() -> None:
    """Guards against streams that are all lost with two routers."""
    requests = [ids.RequestId(f"q-{number}") for number in range(2_000)]
    for seed in range(20):
        lost = {*random.Random(seed).sample(HOSTS, len(HOSTS) // 2)}
        gone = sum(
            lost.issuperset(streamversions.choose_holders(request, HOSTS))
            for request in requests
        )
        assert gone / len(requests) <= 0.2


def test_new_holders_are_those_that_a_change_of_hosts_adds() -> None:
    """Guards against origins that a router which joins is expected to hold."""
    for number in range(200):
        request = ids.RequestId(f"q-{number}")
        added = streamversions.find_new_holders(request, HOSTS, HOSTS[1:])
        now = {*streamversions.choose_holders(request, HOSTS)}
        assert added == now & {HOSTS[0]}


def test_contradicting_origins_are_not_believed() -> None:
    """Guards against two requests with one id that began at two versions."""
    origins = streamversions.Origins()
    request = ids.RequestId("q-1")
    for version in ("v1", "v2", "v1"):
        origins.record(request, SERVICE, ids.SoftwareVersion(version), 0.0)
    entries = [make_entry("gpu-1", "v1"), make_entry("gpu-2", "v2")]
    verdict = streamversions.judge(origins.find(request), SERVICE, entries, 0.0)
    assert verdict is streamversions.Verdict.ORIGIN_UNKNOWN


@pytest.mark.parametrize(
    ("origin", "service", "age", "verdict"),
    [
        ("v1", SERVICE, 100.0, streamversions.Verdict.GOES_ON),
        ("v2", SERVICE, 0.0, streamversions.Verdict.GOES_ON),
        ("v2", SERVICE, 5.0, streamversions.Verdict.VERSION_UNCONFIRMED),
        ("v3", SERVICE, 0.0, streamversions.Verdict.VERSION_GONE),
        ("v1", ids.ServiceId("other"), 0.0, streamversions.Verdict.VERSION_GONE),
        ("", SERVICE, 0.0, streamversions.Verdict.ORIGIN_UNKNOWN),
    ],
)
def test_verdict_on_a_stream(
    origin: str, service: ids.ServiceId, age: float, verdict: streamversions.Verdict
) -> None:
    """Guards against streams that go on where that is not known to be safe."""
    entries = [make_entry("gpu-1", "v1"), make_entry("gpu-2", "v2", started_ms=7)]
    found = streamversions.Origin(SERVICE, ids.SoftwareVersion(origin), 0.0)
    assert streamversions.judge(found, service, entries, age) is verdict


def test_sole_version_is_not_inferred_while_streams_of_another_may_be_open() -> None:
    """Guards against the version left by a release being taken for the only one."""
    history = streamversions.VersionHistory()
    assert history.find_sole_version(SERVICE, 0.0) == ""
    first, second = make_entry("gpu-1", "v1"), make_entry("gpu-2", "v2")
    history.record([first], 0.0)
    assert history.find_sole_version(SERVICE, 50.0) == "v1"
    history.record([first, second], 60.0)
    history.record([second], 100.0)
    assert history.find_sole_version(SERVICE, 100.0) == ""
    assert history.find_sole_version(SERVICE, 100.1) == "v2"


class OriginsMachine(stateful.RuleBasedStateMachine):
    """Compares the held origins with a model without a bound."""

    def __init__(self) -> None:
        super().__init__()
        self.origins = streamversions.Origins(capacity=6)
        self.begun: dict[str, set[str]] = {}
        self.seen_at: dict[str, float] = {}
        self.now = 0.0

    @stateful.rule(
        request=strategies.sampled_from("abcdefghij"),
        version=strategies.sampled_from(["v1", "v2"]),
        age=strategies.floats(0.0, 5.0),
    )
    def record(self, request: str, version: str, age: float) -> None:
        self.begun.setdefault(request, set()).add(version)
        self.seen_at[request] = max(
            self.now - age, self.seen_at.get(request, float("-inf"))
        )
        self.origins.record(
            ids.RequestId(request),
            SERVICE,
            ids.SoftwareVersion(version),
            self.now - age,
        )

    @stateful.rule(seconds=strategies.floats(0.1, 4.0))
    def expire(self, seconds: float) -> None:
        self.now += seconds
        self.origins.expire(self.now - 6.0)

    @stateful.invariant()
    def never_names_a_version_that_did_not_begin_the_stream(self) -> None:
        for request, origin in self.origins.list_all():
            assert {origin.version} <= {*self.begun[request], ""}

    @stateful.invariant()
    def is_bounded(self) -> None:
        assert len(self.origins) <= 6


OriginsMachine.TestCase.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=30
)
TestOrigins = OriginsMachine.TestCase


@pytest.mark.parametrize("tokens", [500, 60_000])
def test_continued_stream_is_placed_at_its_version(tokens: int) -> None:
    """Guards against a long prompt that no dedicated engine of its version takes."""
    entries = [make_entry(f"gpu-{number}", "v1") for number in range(6)]
    for alone in range(6):
        mixed = [*entries]
        mixed[alone] = make_entry(f"gpu-{alone}", "v2")
        pool = make_pool(*mixed)
        for number in range(4):
            long = make_ask(f"long-{number}", tokens=60_000)
            for answer in pool.ask(ROUTER, long, 0.1 * number):
                server = answer.message.server
                pool.end(long.request, server, states.RunEnding.ANSWERED, 4.0)
        again = make_ask("again", "v2", tokens=tokens)
        assert find_server(pool.ask(ROUTER, again, 5.0)) == f"gpu-{alone}"


def test_continued_stream_waits_for_its_version_and_not_for_another() -> None:
    """Guards against a stream that goes on at another version because it is free."""
    pool = make_pool(
        make_entry("gpu-1", "v1", slots=1), make_entry("gpu-2", "v2", slots=1)
    )
    assert find_server(pool.ask(ROUTER, make_ask("q-1", "v1"), 0.0)) == "gpu-1"
    assert pool.ask(ROUTER, make_ask("q-2", "v1"), 0.1) == []
    assert pool.tick(0.2) == []
    pool.end(
        ids.RequestId("q-1"), ids.ServerId("gpu-1"), states.RunEnding.ANSWERED, 0.3
    )
    assert find_server(pool.tick(0.31)) == "gpu-1"


def test_continued_stream_goes_before_new_requests() -> None:
    """Guards against new streams that take the last places of a leaving version."""
    pool = make_pool(
        make_entry("gpu-1", "v1", slots=1), make_entry("gpu-2", "v2", slots=1)
    )
    for version in ("v1", "v2"):
        pool.ask(ROUTER, make_ask(f"runs-{version}", version), 0.0)
    for number in range(5):
        other = make_ask(f"new-{number}", account=ids.AccountId("desk"))
        pool.ask(ROUTER, other, 0.1)
    for number in range(3):
        held = make_ask(f"new-tower-{number}")
        pool.ask(ROUTER, held, 0.1)
    pool.ask(ROUTER, make_ask("again", "v1", account=ids.AccountId("desk")), 0.2)
    pool.end(
        ids.RequestId("runs-v1"), ids.ServerId("gpu-1"), states.RunEnding.ANSWERED, 0.3
    )
    (answer,) = pool.tick(0.31)
    assert answer.message.request == "again"


def test_waiting_stream_is_refused_when_its_version_goes() -> None:
    """Guards against callers that wait for engines that have left."""
    first = make_entry("gpu-1", "v1", slots=1)
    second = make_entry("gpu-2", "v2", slots=1)
    pool = make_pool(first, second)
    pool.ask(ROUTER, make_ask("q-1", "v1"), 0.0)
    assert pool.ask(ROUTER, make_ask("q-2", "v1"), 0.1) == []
    pool.set_servers([second], ENGINE)
    assert find_server(pool.tick(0.2)) == GONE
    refused = pool.ask(ROUTER, make_ask("q-3", "v1"), 0.3)
    assert find_server(refused) == GONE


def test_stream_waits_for_a_list_of_servers_that_has_not_arrived() -> None:
    """Guards against streams that a router which has just started ends for good."""
    pool = make_pool()
    assert pool.ask(ROUTER, make_ask("q-1", "v1"), 0.0) == []
    pool.set_servers([make_entry("gpu-1", "v1")], ENGINE)
    assert find_server(pool.tick(0.1)) == "gpu-1"
    origin = streamversions.Origin(SERVICE, ids.SoftwareVersion("v1"), 0.0)
    verdict = streamversions.judge(origin, SERVICE, [], 0.0)
    assert verdict is streamversions.Verdict.GOES_ON


def test_engine_that_failed_a_stream_is_tried_again_if_alone_of_its_version() -> None:
    """Guards against streams that end because other versions count as untried."""
    pool = make_pool(make_entry("gpu-1", "v1"), make_entry("gpu-2", "v2"))
    again = make_ask("q-1", "v1", excluded=(ids.ServerId("gpu-1"),))
    assert find_server(pool.ask(ROUTER, again, 0.0)) == "gpu-1"


def test_cached_parts_are_copied_within_one_version() -> None:
    """Guards against prompt memory that another software version has written."""
    placer = placing.Placer()
    engines = [make_entry("gpu-1", "v1"), make_entry("gpu-2", "v2")]
    placer.set_servers(engines, ENGINE)
    shared = (messages.PromptPart("shared", 9_000), messages.PromptPart("own", 100))
    first = make_ask("q-1", "v1", tokens=9_100, parts=shared)
    placer.start_run(first, ROUTER, ids.ServerId("gpu-1"), 9.0, 0.0)
    second = make_ask("q-2", "v2", tokens=9_100, parts=shared)
    run = placer.start_run(second, ROUTER, ids.ServerId("gpu-2"), 9.0, 5.0)
    assert run.source is None
    placer.set_servers([*engines, make_entry("gpu-3", "v1")], ENGINE)
    third = make_ask("q-3", tokens=9_100, parts=shared)
    run = placer.start_run(third, ROUTER, ids.ServerId("gpu-3"), 14.0, 10.0)
    assert run.source == "gpu-1"


def test_engine_with_another_version_is_another_incarnation() -> None:
    """Guards against runs and cache of an engine whose id was taken over."""
    placer = placing.Placer()
    placer.set_servers([make_entry("gpu-1", "v1")], ENGINE)
    placer.start_run(make_ask("q-1"), ROUTER, ids.ServerId("gpu-1"), 9.0, 0.0)
    placer.set_servers([make_entry("gpu-1", "v2")], ENGINE)
    assert placer.count_runs() == 0


@pytest.mark.parametrize(
    ("started_ms", "age", "connection_age", "expected"),
    [
        (None, 60.0, 0.1, "v1"),
        (1, 3.0, 0.1, "v1"),
        (1, 60.0, 0.1, streamversions.UNPROVEN),
        (1, 60.0, 59.9, streamversions.UNPROVEN),
        (1, 60.0, 60.1, "v1"),
    ],
)
def test_version_of_a_server_that_may_have_restarted_is_unproven(
    started_ms: int | None, age: float, connection_age: float, expected: str
) -> None:
    """Guards against streams that count as begun at the version of an old entry."""
    entry = make_entry("gpu-1", "v1", started_ms=started_ms)
    found = streamversions.find_begun_version(entry, age, connection_age)
    assert found == expected


def test_stream_of_an_unproven_version_goes_on_nowhere() -> None:
    """Guards against a server whose entry names the marker as its version."""
    entry = make_entry("gpu-1", streamversions.UNPROVEN)
    assert not streamversions.may_continue(entry, streamversions.UNPROVEN)
