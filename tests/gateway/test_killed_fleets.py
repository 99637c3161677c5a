"""Streams go on at their version after all routers were killed at once."""

from __future__ import annotations

import contextlib
import dataclasses
import pathlib
import time
from collections.abc import Callable

import pytest

from tests.gateway import versionfleet

STREAMS = 16
BROKEN_AFTER_SECONDS = 2.0
DOWN_SECONDS = 1.0
SETTLED_SECONDS = 1.0


@dataclasses.dataclass(frozen=True)
class Case:
    """What happens before the streams begin and while the routers are down.

    Attributes
    ----------
    goes_on : float
        Least share of the streams that must go on.
    """

    name: str
    goes_on: float
    before: Callable[[versionfleet.Fleet], None] = lambda _: None
    meanwhile: Callable[[versionfleet.Fleet], None] = lambda _: None
    names_origin: bool = True
    kills: int = 1


def _add_second_version(fleet: versionfleet.Fleet) -> None:
    fleet.add_engines("v2")
    time.sleep(1.0)


CASES = (
    Case("one version", 1.0),
    Case("one version, killed again", 1.0, kills=2),
    Case("two versions", 0.5, _add_second_version),
    Case("two versions, killed again", 0.5, _add_second_version, kills=2),
    Case(
        "two, silent store", 0.5, _add_second_version, versionfleet.Fleet.silence_store
    ),
    Case("replaced", 0.0, meanwhile=versionfleet.Fleet.replace_engines),
    Case("back under their ids", 0.0, meanwhile=versionfleet.Fleet.restart_engines),
    Case(
        "replaced, no origin",
        0.0,
        meanwhile=versionfleet.Fleet.replace_engines,
        names_origin=False,
    ),
    Case("two, no origin", 0.0, _add_second_version, names_origin=False),
    Case("one, no origin", 1.0, names_origin=False),
)


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_streams_go_on_at_their_version_after_a_kill_of_all_routers(
    tmp_path: pathlib.Path, case: Case
) -> None:
    """Guards against streams of two versions, and against streams that all end."""
    with contextlib.ExitStack() as stack:
        fleet = versionfleet.Fleet(stack, tmp_path)
        fleet.add_engines("v1")
        routers = fleet.start_routers()
        time.sleep(SETTLED_SECONDS)
        case.before(fleet)
        streams = [versionfleet.Stream(f"origin-{number}") for number in range(STREAMS)]
        threads = versionfleet.ask_all(streams, routers, "", names_origin=True)
        time.sleep(BROKEN_AFTER_SECONDS)
        for turn in range(case.kills):
            for router in routers:
                router.stop()
            if not turn:
                case.meanwhile(fleet)
            time.sleep(DOWN_SECONDS)
            for router in routers:
                router.start()
            for router in routers:
                router.wait_ready()
        for thread in threads:
            thread.join()
        begun = [stream for stream in streams if stream.events]
        assert len(begun) > STREAMS / 2
        assert not any(stream.is_whole for stream in begun)
        time.sleep(SETTLED_SECONDS)
        news = [versionfleet.Stream(f"new-{number}") for number in range(STREAMS)]
        threads = versionfleet.ask_all(
            begun, routers, "again-", names_origin=case.names_origin
        )
        threads += versionfleet.ask_all(news, routers, "", names_origin=True)
        for thread in threads:
            thread.join()
        assert [stream for stream in begun if len(stream.versions) > 1] == []
        whole = [stream for stream in begun if stream.is_whole]
        refusals = [stream.refusals for stream in begun if stream.refusals]
        assert len(whole) >= case.goes_on * len(begun), refusals
        assert all(stream.is_whole for stream in news)
