"""Which requests are quarantined as the cause of crashes, and how routers converge."""

from __future__ import annotations

import itertools
import random

import hypothesis
import pytest
from hypothesis import strategies

from celeryspan import catalog, ids
from celeryspan.decisions import blame, crashes, fingerprints, quarantine
from celeryspan.wire import messages

CAUSE, BYSTANDER, OTHER = 1, 2, 3
NOW_MS = 1_790_000_000_000
Standing = quarantine.Standing


def make_strike(
    crash: str, trial: int = 1, at_ms: int = 0, run_ms: int = 100, **values: object
) -> messages.Strike:
    """Return a strike; ``at_ms`` is relative to ``NOW_MS``."""
    is_prompt = values.get("is_prompt", True)
    return messages.Strike(crash, NOW_MS + at_ms, trial, run_ms, is_prompt)


def make_suspect(
    whole: int, *strikes: messages.Strike, acquitted_ms: int = 0
) -> messages.Suspect:
    """Return a suspect whose scope is ``whole + 100``."""
    return messages.Suspect(whole + 100, whole, acquitted_ms, strikes)


def make_quarantine(*suspects: messages.Suspect) -> quarantine.Quarantine:
    """Return the state of a router that has merged these suspects."""
    known = quarantine.Quarantine()
    known.merge(suspects, NOW_MS)
    return known


def test_request_is_isolated_after_two_crashes_and_refused_after_three() -> None:
    known = quarantine.Quarantine()
    assert known.is_empty
    standings = []
    for trial in range(1, 4):
        known.merge([make_suspect(CAUSE, make_strike(f"gpu-{trial}", trial))], NOW_MS)
        standings.append(known.find_standing(CAUSE))
    assert standings == [Standing.SUSPECT, Standing.ISOLATED, Standing.QUARANTINED]
    assert known.may_be_suspect(CAUSE + 100)
    assert not known.may_be_suspect(OTHER + 100)


def test_crash_that_several_routers_report_counts_once() -> None:
    reports = [make_suspect(CAUSE, make_strike("gpu-1", at_ms=at)) for at in (0, 5, 9)]
    known = make_quarantine(*reports)
    assert known.find_standing(CAUSE) is Standing.SUSPECT


def test_answer_acquits_a_request_of_all_earlier_crashes() -> None:
    known = make_quarantine(
        make_suspect(CAUSE, make_strike("gpu-1"), make_strike("gpu-2", 2, 10))
    )
    known.merge([known.acquit(CAUSE)], NOW_MS)
    assert known.find_standing(CAUSE) is Standing.CLEAR
    assert known.is_empty
    assert known.acquit(CAUSE) is None
    known.merge([make_suspect(CAUSE, make_strike("gpu-1"))], NOW_MS)
    assert known.is_empty
    known.merge([make_suspect(CAUSE, make_strike("gpu-3", 1, 20))], NOW_MS)
    assert known.find_standing(CAUSE) is Standing.SUSPECT


def test_popular_request_is_not_blamed_for_servers_that_crash_together() -> None:
    """A power failure must not quarantine a request that ran on many servers."""
    together = [make_strike(f"gpu-{number}") for number in range(5)]
    assert (
        make_quarantine(make_suspect(CAUSE, *together)).find_standing(CAUSE)
        is Standing.ISOLATED
    )


def test_requests_that_ran_next_to_the_cause_are_not_blamed() -> None:
    """A request that ran next to the cause in three crashes must not be refused."""
    prompt = [make_strike(f"gpu-{trial}", trial) for trial in range(1, 4)]
    slower = [make_strike(f"gpu-{trial}", trial, run_ms=900) for trial in range(1, 4)]
    known = make_quarantine(
        make_suspect(BYSTANDER, *slower), make_suspect(CAUSE, *prompt)
    )
    assert known.find_standing(CAUSE) is Standing.QUARANTINED
    assert known.find_standing(BYSTANDER) is Standing.ISOLATED


def test_wrong_cause_is_released_once_the_next_crash_shows_the_real_one() -> None:
    known = make_quarantine(
        make_suspect(
            BYSTANDER, *[make_strike(f"gpu-{t}", t, run_ms=10) for t in range(1, 4)]
        ),
        make_suspect(CAUSE, *[make_strike(f"gpu-{t}", t) for t in range(1, 4)]),
    )
    assert known.find_standing(BYSTANDER) is Standing.QUARANTINED
    _, changes = known.merge([make_suspect(CAUSE, make_strike("gpu-4", 4))], NOW_MS)
    assert known.find_standing(CAUSE) is Standing.QUARANTINED
    assert known.find_standing(BYSTANDER) is Standing.ISOLATED
    changed = [each.suspect.whole for each in changes if each.before is not each.after]
    assert sorted(changed) == [CAUSE, BYSTANDER]


def test_crashes_long_after_the_start_of_a_run_count_half() -> None:
    late = [
        make_strike(f"gpu-{t}", t, run_ms=5000, is_prompt=False) for t in range(1, 7)
    ]
    assert (
        make_quarantine(make_suspect(BYSTANDER, *late[:5])).find_standing(BYSTANDER)
        is Standing.ISOLATED
    )
    known = make_quarantine(make_suspect(BYSTANDER, *late))
    assert known.find_standing(BYSTANDER) is Standing.QUARANTINED


def test_crash_before_the_first_part_of_an_answer_always_counts_as_prompt() -> None:
    entry = catalog.ServerEntry(
        ids.ServerId("gpu-1"),
        ids.ServiceId("planner"),
        ids.Address("127.0.0.1", 1),
        ids.DataCentreId("here"),
        8,
        False,
        1,
    )
    fingerprint = fingerprints.Fingerprint(101, CAUSE)
    for is_begun, is_prompt in ((False, True), (True, False)):
        run = crashes.LostRun(ids.RequestId("r"), entry, fingerprint, 5.0, is_begun)
        made = quarantine.make_suspect(run, "gpu-1@0", NOW_MS)
        assert made.strikes[0].is_prompt is is_prompt


def test_two_causes_are_both_found() -> None:
    first = make_suspect(CAUSE, *[make_strike(f"gpu-{t}", t) for t in range(1, 4)])
    second = make_suspect(OTHER, *[make_strike(f"gpu-{t + 3}", t) for t in range(1, 4)])
    known = make_quarantine(first, second)
    assert known.count_by_standing(Standing.QUARANTINED) == 2


def test_strikes_expire_after_a_day() -> None:
    known = make_quarantine(
        make_suspect(CAUSE, *[make_strike(f"gpu-{t}", t) for t in range(1, 4)])
    )
    assert known.expire(NOW_MS + quarantine.STRIKE_RETENTION_MS) == []
    late_ms = NOW_MS + quarantine.STRIKE_RETENTION_MS + 2 * quarantine.EXPIRY_STEP_MS
    (change,) = known.expire(late_ms)
    assert change.after is Standing.CLEAR
    assert len(known) == 0
    assert known.digest == 0


def test_acquitted_request_expires_soon_and_is_not_added_again() -> None:
    """Acquitted requests must not fill the table of suspects."""
    acquitted = make_suspect(CAUSE, make_strike("gpu-1"), acquitted_ms=NOW_MS)
    known = make_quarantine(acquitted)
    late_ms = NOW_MS + quarantine.ACQUITTED_RETENTION_MS + 2 * quarantine.EXPIRY_STEP_MS
    assert known.expire(late_ms) == []
    assert len(known) == 0
    assert known.merge([acquitted], late_ms) == ([], [])
    assert len(known) == 0


def test_flood_of_new_bodies_does_not_evict_a_quarantined_request() -> None:
    """A caller must not escape quarantine by filling the table of suspects."""
    quarantined = make_suspect(
        CAUSE, *[make_strike(f"gpu-{t}", t) for t in range(1, 4)]
    )
    known = make_quarantine(quarantined)
    flood = (
        make_suspect(1000 + number, make_strike(f"gpu-{number}", at_ms=number))
        for number in range(quarantine.SUSPECTS_MAX + 500)
    )
    known.merge(flood, NOW_MS)
    assert len(known) == quarantine.SUSPECTS_MAX
    assert known.find_standing(CAUSE) is Standing.QUARANTINED


def test_routers_evict_the_same_suspects() -> None:
    """Routers must not resend to each other forever what one of them evicts."""
    flood = [
        make_suspect(whole, make_strike(f"gpu-{whole % 40}", at_ms=whole % 700))
        for whole in range(2 * quarantine.SUSPECTS_MAX)
    ]
    first, second = make_quarantine(*flood), make_quarantine(*reversed(flood))
    for _ in range(2):
        first.merge(second.list_suspects(), NOW_MS)
        second.merge(first.list_suspects(), NOW_MS)
    assert first.digest == second.digest
    assert first.merge(second.list_suspects(), NOW_MS) == ([], [])
    assert first.merge(flood, NOW_MS)[0] == []


def test_digest_depends_on_the_merged_suspects_only() -> None:
    suspects = [
        make_suspect(whole, make_strike(f"gpu-{crash}", crash, crash))
        for whole in (CAUSE, BYSTANDER)
        for crash in (1, 2)
    ]
    first, second = make_quarantine(*suspects), make_quarantine(*reversed(suspects))
    assert (
        first.digest == second.digest == quarantine.hash_suspects(first.list_suspects())
    )
    assert make_quarantine(suspects[0]).digest != first.digest


SUSPECTS = strategies.lists(
    strategies.builds(
        lambda whole, crash, trial, at, run, acquitted: make_suspect(
            whole,
            make_strike(f"gpu-{crash}", trial, at, run, is_prompt=run < 2000),
            acquitted_ms=acquitted and NOW_MS + acquitted,
        ),
        strategies.integers(1, 5),
        strategies.integers(1, 6),
        strategies.integers(1, 4),
        strategies.integers(0, 50),
        strategies.integers(0, 4000),
        strategies.integers(0, 60),
    ),
    max_size=25,
)


@hypothesis.given(suspects=SUSPECTS, seed=strategies.integers(0, 1000))
def test_merge_is_commutative_and_idempotent(
    suspects: list[messages.Suspect], seed: int
) -> None:
    first = quarantine.Quarantine()
    for each in suspects:
        first.merge([each], NOW_MS)
    shuffled = suspects * 2
    random.Random(seed).shuffle(shuffled)
    second = make_quarantine(*shuffled)
    assert first.digest == second.digest
    assert {w: first.find_standing(w) for w in range(6)} == {
        w: second.find_standing(w) for w in range(6)
    }


@hypothesis.given(suspects=SUSPECTS)
def test_no_request_is_refused_for_fewer_than_three_crashes(
    suspects: list[messages.Suspect],
) -> None:
    known = make_quarantine(*suspects)
    for each in known.list_suspects():
        strikes = blame.list_strikes(each)
        if known.find_standing(each.whole) is Standing.QUARANTINED:
            assert len({found.crash for found in strikes}) >= 3


@pytest.mark.parametrize("servers", [3, 5, 12])
def test_cause_is_found_among_many_that_run_next_to_it(servers: int) -> None:
    """Requests that share servers with the cause must not be quarantined with it."""
    generator = random.Random(servers)
    known = quarantine.Quarantine()
    running: dict[int, list[tuple[int, int, int]]] = {n: [] for n in range(servers)}
    incarnations = itertools.count()
    names = {number: f"gpu-{next(incarnations)}" for number in running}
    down: dict[int, int] = {}
    waiting: list[int] = []
    crash_count, refused, fresh = 0, set(), itertools.count(1000)
    for now_ms in range(0, 60_000, 20):
        if now_ms % 500 == 0:
            waiting.append(CAUSE)
        waiting.append(next(fresh))
        down = {number: until for number, until in down.items() if until > now_ms}
        up = [number for number in running if number not in down]
        for whole in waiting if up else []:
            standing = known.find_standing(whole)
            if standing is Standing.QUARANTINED:
                refused.add(whole)
                continue
            lasts = 100 if whole == CAUSE else generator.randrange(50, 4000)
            running[generator.choice(up)].append((whole, now_ms, now_ms + lasts))
        waiting = [] if up else waiting
        for number in up:
            ended = [run for run in running[number] if run[2] <= now_ms]
            running[number] = [run for run in running[number] if run[2] > now_ms]
            for whole, began, _ in ended:
                if whole != CAUSE:
                    acquitted = known.acquit(whole)
                    known.merge([acquitted] if acquitted else [], NOW_MS)
                    continue
                crash_count += 1
                lost = [*running[number], (CAUSE, began, now_ms)]
                running[number] = []
                down[number] = now_ms + 3000
                name, names[number] = names[number], f"gpu-{next(incarnations)}"
                for each, since, _ in lost:
                    run_ms = now_ms - since
                    trial = quarantine.count_trials(known.find_suspect(each)) + 1
                    seen = make_strike(
                        name, trial, now_ms, run_ms, is_prompt=run_ms <= 2000
                    )
                    known.merge([make_suspect(each, seen)], NOW_MS)
                    if each != CAUSE:
                        waiting.append(each)
                break
    assert known.find_standing(CAUSE) is Standing.QUARANTINED
    assert crash_count <= 4
    assert refused == {CAUSE}
