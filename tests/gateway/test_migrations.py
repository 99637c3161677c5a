"""Runs that migrate to another engine: the caller gets each event exactly once."""

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


class MigratingStream:
    """A stream in progress at one of two engines.

    Attributes
    ----------
    source, target : PlatformServer
        The engine that runs the request, and the other engine.
    answers : list
        The caller's answer, once it is complete.
    """

    def __init__(
        self, cluster: support.Cluster, path: str, *, is_framed: bool = True
    ) -> None:
        engines = [
            cluster.add_server("gpu-1", "planner"),
            cluster.add_server("gpu-2", "planner"),
        ]
        for engine in engines:
            engine.event_seconds = 0.2
            engine.is_framed = is_framed
        self.router = cluster.start_router()
        self.answers: list = []
        self._thread = threading.Thread(target=self._ask, args=(path,))
        self._thread.start()
        support.wait_for(lambda: any(engine.ran for engine in engines))
        self.source, self.target = sorted(engines, key=lambda each: not each.ran)
        found = self.router.container.find("places")
        support.wait_for(lambda: getattr(found.find_slot("r1"), "is_begun", False))

    def request_migration(self) -> None:
        """Send the router the migration request of a home router."""
        move = messages.RunMove("r1", POOL, self.source.name, self.target.name)
        own = self.router.container.find("identity").router
        self.router.container.find("delivery").send(own, move)

    def finish(self) -> list[str]:
        """Wait for the end of the stream; returns the events' texts."""
        self._thread.join()
        lines = self.answers[0].text.decode().splitlines()
        return [line.removeprefix("data: ") for line in lines if "piece" in line]

    def count_runs(self) -> int:
        """Return the number of places that the home router counts as occupied."""
        return self.router.container.find("poolhomes").report()[POOL]["runs"]

    def _ask(self, path: str) -> None:
        headers = {
            "Celeryspan-Token-Count": "900,60",
            "Celeryspan-Prefix-Hash": "aa:500,bb:300,cc:100",
        }
        self.answers.append(self.router.call(path, headers=headers))


@pytest.fixture(params=["/drafts/1", "/notes/1"])
def stream(cluster, request) -> MigratingStream:
    """Return a stream in progress, on a resumable and on a non-resumable route."""
    return MigratingStream(cluster, request.param)


def test_stream_resumes_at_the_target_engine(stream: MigratingStream) -> None:
    stream.request_migration()
    assert stream.finish() == WHOLE
    assert stream.target.resumed == ["r1"]
    (resumed,) = [
        request for request in stream.target.received if request.request_id == "r1"
    ]
    assert resumed.headers["kv-from"] == f"{stream.source.address}/copy-r1"
    assert int(resumed.headers["last-event-id"]) >= 1
    assert len(stream.source.ran) == 1
    support.wait_for(lambda: stream.count_runs() == 0)


def test_source_resumes_a_run_that_the_target_refuses(stream: MigratingStream) -> None:
    """The target is full when it is asked to resume the run.

    The source has stopped the run already, so that it must be asked to resume it.
    """
    stream.target.script.append("full")
    stream.request_migration()
    assert stream.finish() == WHOLE
    assert stream.source.resumed == ["r1"]
    assert stream.target.resumed == []
    support.wait_for(lambda: stream.count_runs() == 0)


def test_source_resumes_a_run_whose_copy_failed(stream: MigratingStream) -> None:
    """The source stops the run but cannot reach the target: 503 with a handle."""
    stream.source.move_status = 503
    stream.request_migration()
    assert stream.finish() == WHOLE
    assert stream.source.resumed == ["r1"]
    assert stream.target.received == []


@pytest.mark.parametrize("answer", [404, 0])
def test_run_that_was_not_stopped_continues(
    stream: MigratingStream, answer: int
) -> None:
    """The migration request to the engine is refused, or its connection is reset."""
    stream.source.move_status = answer
    stream.request_migration()
    assert stream.finish() == WHOLE
    assert stream.source.resumed == stream.target.resumed == []
    support.wait_for(lambda: stream.count_runs() == 0)


def test_migration_of_an_ended_run_releases_its_place(stream: MigratingStream) -> None:
    """The home router requests a migration while the run ends.

    It must still be told the result, or it would count the place as occupied for good.
    """
    assert stream.finish() == WHOLE
    stream.request_migration()
    support.wait_for(lambda: stream.count_runs() == 0)
    assert stream.target.resumed == []
