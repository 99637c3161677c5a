"""Which requests are held for the cause of crashes, and how that spreads."""

from __future__ import annotations

import itertools
import random

import hypothesis
import pytest
from hypothesis import strategies

from celeryspan import catalog, ids
from celeryspan.decisions import crashes, fingerprints, quarantine
from celeryspan.wire import messages

CAUSE, BESIDE, OTHER = 1, 2, 3
NOW_MS = 1_790_000_000_000
Standing = quarantine.Standing


def strike(
    crash: str, trial: int = 1, at_ms: int = 0, run_ms: int = 100, **values: object
) -> messages.Strike:
    """Return a crash under a request; ``at_ms`` counts from the tests' moment."""
    is_prompt = values.get("is_prompt", True)
    return messages.Strike(crash, NOW_MS + at_ms, trial, run_ms, is_prompt)


def suspect(
    whole: int, *strikes: messages.Strike, acquitted_ms: int = 0
) -> messages.Suspect:
    """Return what one router has seen of a request."""
    return messages.Suspect(whole + 100, whole, acquitted_ms, strikes)


def learn(*suspects: messages.Suspect) -> quarantine.Quarantine:
    """Return what a router believes that has heard all of this."""
    known = quarantine.Quarantine()
    known.merge(suspects, NOW_MS)
    return known


def test_request_is_isolated_after_two_crashes_and_refused_after_three() -> None:
    known = quarantine.Quarantine()
    assert known.is_empty
    standings = []
    for trial in range(1, 4):
        known.merge([suspect(CAUSE, strike(f"gpu-{trial}", trial))], NOW_MS)
        standings.append(known.find_standing(CAUSE))
    assert standings == [Standing.SUSPECT, Standing.ISOLATED, Standing.QUARANTINED]
    assert known.may_be_suspect(CAUSE + 100)
    assert not known.may_be_suspect(OTHER + 100)


def test_crash_that_several_routers_report_counts_once() -> None:
    reports = [suspect(CAUSE, strike("gpu-1", at_ms=at)) for at in (0, 5, 9)]
    known = learn(*reports)
    assert known.find_standing(CAUSE) is Standing.SUSPECT


def test_answer_acquits_of_all_crashes_before() -> None:
    known = learn(suspect(CAUSE, strike("gpu-1"), strike("gpu-2", 2, 10)))
    known.merge([known.acquit(CAUSE)], NOW_MS)
    assert known.find_standing(CAUSE) is Standing.CLEAR
    assert known.is_empty
    assert known.acquit(CAUSE) is None
    known.merge([suspect(CAUSE, strike("gpu-1"))], NOW_MS)
    assert known.is_empty
    known.merge([suspect(CAUSE, strike("gpu-3", 1, 20))], NOW_MS)
    assert known.find_standing(CAUSE) is Standing.SUSPECT


def test_popular_request_is_not_blamed_for_servers_that_crash_together() -> None:
    """Guards against a loss of power that puts what ran everywhere into quarantine."""
    together = [strike(f"gpu-{number}") for number in range(5)]
    assert learn(suspect(CAUSE, *together)).find_standing(CAUSE) is Standing.ISOLATED


def test_requests_that_ran_beside_the_cause_are_not_blamed_for_its_crashes() -> None:
    """Guards against innocents that were unlucky three times."""
    prompt = [strike(f"gpu-{trial}", trial) for trial in range(1, 4)]
    slower = [strike(f"gpu-{trial}", trial, run_ms=900) for trial in range(1, 4)]
    known = learn(suspect(BESIDE, *slower), suspect(CAUSE, *prompt))
    assert known.find_standing(CAUSE) is Standing.QUARANTINED
    assert known.find_standing(BESIDE) is Standing.ISOLATED


def test_wrong_verdict_is_taken_back_with_the_next_crash() -> None:
    known = learn(
        suspect(BESIDE, *[strike(f"gpu-{t}", t, run_ms=10) for t in range(1, 4)]),
        suspect(CAUSE, *[strike(f"gpu-{t}", t) for t in range(1, 4)]),
    )
    assert known.find_standing(BESIDE) is Standing.QUARANTINED
    _, changes = known.merge([suspect(CAUSE, strike("gpu-4", 4))], NOW_MS)
    assert known.find_standing(CAUSE) is Standing.QUARANTINED
    assert known.find_standing(BESIDE) is Standing.ISOLATED
    released = [each.suspect.whole for each in changes if each.before is not each.after]
    assert sorted(released) == [CAUSE, BESIDE]


def test_runs_that_worked_for_a_while_count_half() -> None:
    late = [strike(f"gpu-{t}", t, run_ms=5000, is_prompt=False) for t in range(1, 7)]
    assert learn(suspect(BESIDE, *late[:5])).find_standing(BESIDE) is Standing.ISOLATED
    known = learn(suspect(BESIDE, *late))
    assert known.find_standing(BESIDE) is Standing.QUARANTINED


def test_request_without_an_answer_yet_counts_as_prompt_however_long_it_waited() -> (
    None
):
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
        word = quarantine.make_suspect(run, "gpu-1@0", NOW_MS)
        assert word.strikes[0].is_prompt is is_prompt


def test_two_causes_are_both_found() -> None:
    first = suspect(CAUSE, *[strike(f"gpu-{t}", t) for t in range(1, 4)])
    second = suspect(OTHER, *[strike(f"gpu-{t + 3}", t) for t in range(1, 4)])
    known = learn(first, second)
    assert known.count_by_standing(Standing.QUARANTINED) == 2


def test_memory_ends_after_a_day() -> None:
    known = learn(suspect(CAUSE, *[strike(f"gpu-{t}", t) for t in range(1, 4)]))
    assert known.expire(NOW_MS + quarantine.STRIKE_RETENTION_MS) == []
    late_ms = NOW_MS + quarantine.STRIKE_RETENTION_MS + 2 * quarantine.EXPIRY_STEP_MS
    (change,) = known.expire(late_ms)
    assert change.after is Standing.CLEAR
    assert len(known) == 0
    assert known.digest == 0


def test_acquitted_request_is_forgotten_soon_and_not_learned_again() -> None:
    """Guards against a memory that fills with innocents."""
    word = suspect(CAUSE, strike("gpu-1"), acquitted_ms=NOW_MS)
    known = learn(word)
    late_ms = NOW_MS + quarantine.ACQUITTED_RETENTION_MS + 2 * quarantine.EXPIRY_STEP_MS
    assert known.expire(late_ms) == []
    assert len(known) == 0
    assert known.merge([word], late_ms) == ([], [])
    assert len(known) == 0


def test_bodies_that_differ_each_time_push_no_other_out() -> None:
    """Guards against a caller that fills the memory to be forgotten."""
    held = suspect(CAUSE, *[strike(f"gpu-{t}", t) for t in range(1, 4)])
    known = learn(held)
    flood = (
        suspect(1000 + number, strike(f"gpu-{number}", at_ms=number))
        for number in range(quarantine.SUSPECTS_MAX + 500)
    )
    known.merge(flood, NOW_MS)
    assert len(known) == quarantine.SUSPECTS_MAX
    assert known.find_standing(CAUSE) is Standing.QUARANTINED


def test_routers_forget_alike_what_is_too_much() -> None:
    """Guards against routers that tell each other for ever what one forgets."""
    flood = [
        suspect(whole, strike(f"gpu-{whole % 40}", at_ms=whole % 700))
        for whole in range(2 * quarantine.SUSPECTS_MAX)
    ]
    one, other = learn(*flood), learn(*reversed(flood))
    for _ in range(2):
        one.merge(other.list_suspects(), NOW_MS)
        other.merge(one.list_suspects(), NOW_MS)
    assert one.digest == other.digest
    assert one.merge(other.list_suspects(), NOW_MS) == ([], [])
    assert one.merge(flood, NOW_MS)[0] == []


def test_digest_is_the_same_wherever_the_same_is_known() -> None:
    words = [
        suspect(whole, strike(f"gpu-{crash}", crash, crash))
        for whole in (CAUSE, BESIDE)
        for crash in (1, 2)
    ]
    one, other = learn(*words), learn(*reversed(words))
    assert one.digest == other.digest == quarantine.hash_suspects(one.list_suspects())
    assert learn(words[0]).digest != one.digest


WORDS = strategies.lists(
    strategies.builds(
        lambda whole, crash, trial, at, run, acquitted: suspect(
            whole,
            strike(f"gpu-{crash}", trial, at, run, is_prompt=run < 2000),
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


@hypothesis.given(words=WORDS, seed=strategies.integers(0, 1000))
def test_routers_agree_in_whatever_order_news_come_and_however_often(
    words: list[messages.Suspect], seed: int
) -> None:
    one = quarantine.Quarantine()
    for word in words:
        one.merge([word], NOW_MS)
    shuffled = words * 2
    random.Random(seed).shuffle(shuffled)
    other = learn(*shuffled)
    assert one.digest == other.digest
    assert {w: one.find_standing(w) for w in range(6)} == {
        w: other.find_standing(w) for w in range(6)
    }


@hypothesis.given(words=WORDS)
def test_nobody_is_refused_for_fewer_than_three_crashes(
    words: list[messages.Suspect],
) -> None:
    known = learn(*words)
    for each in known.list_suspects():
        strikes = quarantine.list_strikes(each)
        if known.find_standing(each.whole) is Standing.QUARANTINED:
            assert len({found.crash for found in strikes}) >= 3


@pytest.mark.parametrize("servers", [3, 5, 12])
def test_cause_is_found_among_many_that_run_beside_it(servers: int) -> None:
    """Guards against a verdict on all who share servers with the cause."""
    generator = random.Random(servers)
    known = quarantine.Quarantine()
    running: dict[int, list[tuple[int, int, int]]] = {n: [] for n in range(servers)}
    lives = itertools.count()
    names = {number: f"gpu-{next(lives)}" for number in running}
    down: dict[int, int] = {}
    waiting: list[int] = []
    count, refused, fresh = 0, set(), itertools.count(1000)
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
                    word = known.acquit(whole)
                    known.merge([word] if word else [], NOW_MS)
                    continue
                count += 1
                lost = [*running[number], (CAUSE, began, now_ms)]
                running[number] = []
                down[number] = now_ms + 3000
                name, names[number] = names[number], f"gpu-{next(lives)}"
                for each, since, _ in lost:
                    run_ms = now_ms - since
                    trial = quarantine.count_trials(known.find_suspect(each)) + 1
                    seen = strike(name, trial, now_ms, run_ms, is_prompt=run_ms <= 2000)
                    known.merge([suspect(each, seen)], NOW_MS)
                    if each != CAUSE:
                        waiting.append(each)
                break
    assert known.find_standing(CAUSE) is Standing.QUARANTINED
    assert count <= 4
    assert refused == {CAUSE}
