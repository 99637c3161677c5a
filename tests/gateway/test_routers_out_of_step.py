"""Streams that are taken up at a router which stood still while a version joined."""

from __future__ import annotations

import contextlib
import dataclasses
import pathlib
import time
from collections.abc import Callable

import pytest

from tests.gateway import versionfleet

STREAMS = 24
STILL_SECONDS = 2.0
BROKEN_AFTER_SECONDS = 2.0


def _do_nothing(_: versionfleet.Fleet) -> None:
    """Leave the fleet as it is."""


def _remove_second_version(fleet: versionfleet.Fleet) -> None:
    """Let the engines of the new version crash without coming back."""
    for engine in fleet.engines.pop("v2"):
        fleet.cluster.store.remove("servers", engine.name)
        engine.stop()


@dataclasses.dataclass(frozen=True)
class Case:
    """What happens when the streams have broken and the router runs again.

    Attributes
    ----------
    kills_others : bool
        Whether the other routers are killed; else they break the streams by a stop of
        their engines.
    """

    name: str
    then: Callable[[versionfleet.Fleet], None] = _do_nothing
    names_origin: bool = True
    kills_others: bool = True


CASES = (
    Case("others killed"),
    Case("others killed, no origin", names_origin=False),
    Case("others killed, silent store", versionfleet.Fleet.silence_store),
    Case("others killed, version gone", _remove_second_version),
    Case("version gone", _remove_second_version, kills_others=False),
    Case(
        "version gone, no origin",
        _remove_second_version,
        names_origin=False,
        kills_others=False,
    ),
)


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_stream_does_not_change_its_version_at_a_router_that_stood_still(
    tmp_path: pathlib.Path, case: Case
) -> None:
    """Guards against a router that takes up streams by a list from before a release."""
    with contextlib.ExitStack() as stack:
        fleet = versionfleet.Fleet(stack, tmp_path)
        fleet.add_engines("v1")
        still, *others = fleet.start_routers()
        time.sleep(1.0)
        still.pause()
        stack.callback(still.resume)
        fleet.add_engines("v2")
        time.sleep(STILL_SECONDS)
        streams = [versionfleet.Stream(f"origin-{n}") for n in range(STREAMS)]
        threads = versionfleet.ask_all(streams, others, "", names_origin=True)
        time.sleep(BROKEN_AFTER_SECONDS)
        if case.kills_others:
            for router in others:
                router.stop()
        case.then(fleet)
        still.resume()
        for thread in threads:
            thread.join()
        broken = [each for each in streams if each.events and not each.is_whole]
        assert any("v2" in each.versions for each in broken)
        threads = versionfleet.ask_all(
            broken, [still], "again-", names_origin=case.names_origin
        )
        for thread in threads:
            thread.join()
        assert [each for each in broken if len(each.versions) > 1] == []
