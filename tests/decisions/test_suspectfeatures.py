"""Which feature of the requests that ran on crashed servers is blamed."""

from __future__ import annotations

import math

import pytest

from celeryspan import catalog, ids
from celeryspan.decisions import crashes, fingerprints, quarantine, suspectfeatures
from celeryspan.wire import messages

NOW_MS = 1_790_000_000_000
ANSWERED_AT = 100.0
CRASHED_AT = 130.0
"""Longer after the answer than what is answered counts as acquitted."""

FINGERPRINTER = fingerprints.Fingerprinter("key")
Kind = suspectfeatures.Kind
Standing = quarantine.Standing


def make_traits(*parts: str, path: str = "/drafts/1") -> suspectfeatures.Traits:
    """Return the traits of a request with a part of its own after the given ones."""
    prompt = tuple(messages.PromptPart(part, 100) for part in (*parts, "own"))
    return suspectfeatures.Traits("host", path, "m", prompt, 100 * len(prompt))


def list_features(*parts: str) -> tuple[suspectfeatures.Feature, ...]:
    """Return the features of a request with some parts."""
    traits = make_traits(*parts)
    return suspectfeatures.list_features(traits, FINGERPRINTER.compute_feature)


def find_value(part: str) -> int:
    """Return the value of a part."""
    return FINGERPRINTER.compute_feature(Kind.PART, part)


class Fleet:
    """One router's record of crashes under requests that are all different."""

    def __init__(self, answered: tuple[str, ...] = ()) -> None:
        self.known = quarantine.Quarantine()
        self._history = suspectfeatures.AnswerHistory()
        features = [suspectfeatures.Feature(Kind.PART, find_value(a)) for a in answered]
        self._history.record(features, ANSWERED_AT)
        self._crashes = 0
        self._requests = 0

    def crash(
        self,
        *prompts: tuple[str, ...],
        seconds: float = 0.1,
        at: float = CRASHED_AT,
    ) -> None:
        """Let a server crash under requests with these parts."""
        self._crashes += 1
        name = f"gpu-{self._crashes}"
        entry = catalog.ServerEntry(
            ids.ServerId(name),
            ids.ServiceId("planner"),
            ids.Address("127.0.0.1", 1),
            ids.DataCentreId("hala-a"),
            slots=4,
            is_leaving=False,
            revision=1,
        )
        for parts in prompts:
            self._requests += 1
            features = list_features(*parts)
            strikes = {
                each.value: quarantine.count_trials(self.known.find_suspect(each.value))
                for each in features
            }
            fingerprint = fingerprints.Fingerprint(7, 1000 + self._requests)
            run = crashes.LostRun(
                request=ids.RequestId(f"r{self._requests}"),
                entry=entry,
                fingerprint=fingerprint,
                seconds=seconds,
                is_begun=seconds > 1,
                features=features,
                strikes=strikes,
            )
            now_ms = NOW_MS + self._crashes
            made = quarantine.make_suspects(run, f"{name}@0", now_ms, self._history, at)
            self.known.merge(made, NOW_MS)

    def answer(self, *parts: str) -> None:
        """Let a request with these parts be answered."""
        for feature in list_features(*parts):
            acquitted = self.known.acquit(feature.value)
            if acquitted is not None:
                self.known.merge([acquitted], NOW_MS)

    def find_standing(self, part: str) -> Standing:
        """Return how requests with a part are treated."""
        return self.known.find_standing(find_value(part))


def test_last_part_of_a_prompt_is_no_feature() -> None:
    """Guards against state that grows with every request."""
    parts = [each for each in list_features("a", "b") if each.kind is Kind.PART]
    assert [each.value for each in parts] == [find_value("a"), find_value("b")]
    assert not [each for each in list_features() if each.kind is Kind.PART]


def test_part_that_all_crashes_share_is_held_after_three() -> None:
    """Guards against fatal parts that are never found since no two requests agree."""
    fleet = Fleet()
    for number in range(2):
        fleet.crash(("a", "fatal", f"x{number}"), ("a", f"y{number}"))
        fleet.answer("a")
    assert fleet.find_standing("fatal") is Standing.ISOLATED
    fleet.crash(("a", "fatal", "x9"))
    assert fleet.find_standing("fatal") is Standing.QUARANTINED
    assert fleet.find_standing("a") is Standing.SUSPECT
    fleet.answer("a")
    assert fleet.find_standing("a") is Standing.CLEAR


@pytest.mark.parametrize("first", ["fatal", "a"])
def test_part_that_was_answered_before_is_not_blamed_instead(first: str) -> None:
    """Guards against a popular part that is held where nothing is answered between."""
    fleet = Fleet(answered=("a",))
    second = "a" if first == "fatal" else "fatal"
    for _ in range(4):
        fleet.crash((first, second), ("a", "b"))
    assert fleet.find_standing("fatal") is Standing.QUARANTINED
    assert fleet.find_standing("a") is not Standing.QUARANTINED


def test_crash_without_the_blamed_part_turns_the_verdict() -> None:
    """Guards against a verdict that no later crash can correct."""
    fleet = Fleet()
    for _ in range(3):
        fleet.crash(("fatal", "beside"))
    held = [fleet.find_standing(part) for part in ("fatal", "beside")]
    assert held.count(Standing.QUARANTINED) == 1
    fleet.crash(("fatal", "other"))
    assert fleet.find_standing("fatal") is Standing.QUARANTINED
    assert fleet.find_standing("beside") is not Standing.QUARANTINED


def test_part_is_held_later_if_its_runs_crash_late() -> None:
    """Guards against long streams that are blamed for crashes beside which they ran."""
    fleet = Fleet()
    for _ in range(5):
        fleet.crash(("late",), seconds=4.0)
    assert fleet.find_standing("late") is not Standing.QUARANTINED
    fleet.crash(("late",), seconds=4.0)
    assert fleet.find_standing("late") is Standing.QUARANTINED


def test_servers_that_crash_at_once_hold_no_part() -> None:
    """Guards against a loss of power that makes a popular part look fatal."""
    fleet = Fleet()
    features = list_features("a")
    entry_names = [f"gpu-{number}@0" for number in range(5)]
    for name in entry_names:
        strikes = (messages.Strike(name, NOW_MS, 1, 100, True),)
        fleet.known.merge(
            [
                messages.Suspect(0, each.value, 0, strikes, int(each.kind))
                for each in features
            ],
            NOW_MS,
        )
    assert fleet.find_standing("a") is not Standing.QUARANTINED


def test_request_that_had_begun_to_answer_is_not_blamed_for_a_part() -> None:
    """Guards against a popular request held since it ran beside each fatal part."""
    fleet = Fleet()
    innocent = messages.Suspect(
        7,
        8,
        0,
        tuple(
            messages.Strike(f"gpu-{trial}@0", NOW_MS, trial, 30, True)
            for trial in range(1, 4)
        ),
    )
    for _ in range(3):
        fleet.crash(("fatal",))
    fleet.known.merge([innocent], NOW_MS)
    assert fleet.find_standing("fatal") is Standing.QUARANTINED
    assert fleet.known.find_standing(8) is not Standing.QUARANTINED


def test_whole_request_is_blamed_before_what_it_shares() -> None:
    """Guards against holding a part for one request that comes again and again."""
    known = quarantine.Quarantine()
    for trial in range(1, 4):
        strikes = (messages.Strike(f"gpu-{trial}@0", NOW_MS, trial, 100, True),)
        features = [
            messages.Suspect(0, each.value, 0, strikes, int(each.kind))
            for each in list_features("a")
        ]
        known.merge([messages.Suspect(7, 8, 0, strikes), *features], NOW_MS)
    assert known.find_standing(8) is Standing.QUARANTINED
    assert known.find_standing(find_value("a")) is Standing.SUSPECT


def test_path_that_crashes_servers_is_held_after_four() -> None:
    """Guards against plain services whose fatal calls have other bodies each time."""
    fleet = Fleet()
    path = FINGERPRINTER.compute_feature(Kind.TARGET, "host/drafts/1")
    for _ in range(3):
        fleet.crash(())
    assert fleet.known.find_standing(path) is not Standing.QUARANTINED
    fleet.crash(())
    assert fleet.known.find_standing(path) is Standing.QUARANTINED


def test_history_of_answers_is_bounded() -> None:
    """Guards against a memory that grows with the parts of a day."""
    history = suspectfeatures.AnswerHistory()
    features = [suspectfeatures.Feature(Kind.PART, number) for number in range(5_000)]
    for feature in features:
        history.record([feature], 0.0)
    assert history.measure_age(features[0], 1.0) == math.inf
    assert history.measure_age(features[-1], 1.0) == 1.0


def test_feature_that_was_just_answered_is_not_suspected() -> None:
    """Guards against gossip about every popular part at each crash."""
    fleet = Fleet(answered=("a",))
    fleet.crash(("a", "b"), at=ANSWERED_AT + 2.0)
    assert fleet.find_standing("a") is Standing.CLEAR
    assert fleet.find_standing("b") is Standing.SUSPECT
