"""A run that is moved to another engine reaches its caller whole and once."""

from __future__ import annotations

import threading

import pytest

from celeryspan import ids
from celeryspan.decisions import shards
from celeryspan.wire import messages
from standins import platformserver
from tests.gateway import support

POOL = shards.name_pool(ids.ServiceId("planner"), 1, 0)
WHOLE = [f"piece {number}" for number in range(1, platformserver.EVENTS + 1)]


class Moving:
    """A stream in progress at one of two engines.

    Attributes
    ----------
    source, target : PlatformServer
        The engine that runs it, and the other one.
    answers : list
        The caller's answer, once it is whole.
    """

    def __init__(self, cluster: support.Cluster, path: str) -> None:
        engines = [
            cluster.add_server("gpu-1", "planner"),
            cluster.add_server("gpu-2", "planner"),
        ]
        for engine in engines:
            engine.event_seconds = 0.2
        self.router = cluster.start_router()
        self.answers: list = []
        self._thread = threading.Thread(target=self._ask, args=(path,))
        self._thread.start()
        support.wait_for(lambda: any(engine.ran for engine in engines))
        self.source, self.target = sorted(engines, key=lambda each: not each.ran)
        found = self.router.box.find("places")
        support.wait_for(lambda: getattr(found.find_held("r1"), "is_begun", False))

    def move(self) -> None:
        """Tell the router what its home would tell it."""
        move = messages.RunMove("r1", POOL, self.source.name, self.target.name)
        own = self.router.box.find("identity").router
        self.router.box.find("delivery").send(own, move)

    def finish(self) -> list[str]:
        """Return the pieces that the caller got."""
        self._thread.join()
        lines = self.answers[0].text.decode().splitlines()
        return [line.removeprefix("data: ") for line in lines if "piece" in line]

    def count_runs(self) -> int:
        """Return how many places the home holds for taken."""
        return self.router.box.find("poolhomes").report()[POOL]["runs"]

    def _ask(self, path: str) -> None:
        headers = {
            "Celeryspan-Token-Count": "900,60",
            "Celeryspan-Prefix-Hash": "aa:500,bb:300,cc:100",
        }
        self.answers.append(self.router.call(path, headers=headers))


@pytest.fixture(params=["/drafts/1", "/notes/1"])
def moving(cluster, request) -> Moving:
    """Return a stream that may be resumed, and one that may not."""
    return Moving(cluster, request.param)


def test_stream_goes_on_at_the_other_engine(moving: Moving) -> None:
    moving.move()
    assert moving.finish() == WHOLE
    assert moving.target.resumed == ["r1"]
    (resumed,) = [seen for seen in moving.target.seen if seen.request == "r1"]
    assert resumed.headers["kv-from"] == f"{moving.source.address}/copy-r1"
    assert int(resumed.headers["last-event-id"]) >= 1
    assert len(moving.source.ran) == 1
    support.wait_for(lambda: moving.count_runs() == 0)


def test_target_that_refuses_leaves_the_run_to_its_source(moving: Moving) -> None:
    """The target has no room any more when the run comes.

    The source has stopped the run; nobody goes on with it unless it is asked to.
    """
    moving.target.script.append("full")
    moving.move()
    assert moving.finish() == WHOLE
    assert moving.source.resumed == ["r1"]
    assert moving.target.resumed == []
    support.wait_for(lambda: moving.count_runs() == 0)


def test_copy_that_was_not_made_leaves_the_run_to_its_source(moving: Moving) -> None:
    """The engine stops the run and finds no way to the other one: 503 with a handle."""
    moving.source.move_answer = 503
    moving.move()
    assert moving.finish() == WHOLE
    assert moving.source.resumed == ["r1"]
    assert moving.target.seen == []


@pytest.mark.parametrize("answer", [404, 0])
def test_run_that_was_not_stopped_runs_on(moving: Moving, answer: int) -> None:
    """The call that should move the run is refused, or its connection is reset."""
    moving.source.move_answer = answer
    moving.move()
    assert moving.finish() == WHOLE
    assert moving.source.resumed == moving.target.resumed == []
    support.wait_for(lambda: moving.count_runs() == 0)


def test_move_of_a_run_that_has_ended_frees_its_place(moving: Moving) -> None:
    """The home decides as the run ends, and waits for word of the place it holds."""
    assert moving.finish() == WHOLE
    moving.move()
    support.wait_for(lambda: moving.count_runs() == 0)
    assert moving.target.resumed == []
