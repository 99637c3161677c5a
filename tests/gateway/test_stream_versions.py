"""Streams go on only at engines of the software version that began them."""

from __future__ import annotations

import contextlib
import http.client
import json
import threading
import time

import pytest

from celeryspan import events, ids, storedobjects
from celeryspan.decisions import shards, streamversions, versionrecords
from celeryspan.platform import catalogues
from celeryspan.wire import messages
from standins import platformserver
from tests.gateway import processes, support

STREAMS = 12
PATH = "/drafts/1"
POOL = shards.name_pool(ids.ServiceId("planner"), 1, 0)
REFUSED_SECONDS_MAX = 1.0
ROUTES = versionrecords.hash_routes(
    catalogues.read(
        storedobjects.StoredObject("main", 1, support.make_configuration(), None, False)
    ).routes
)
SHARED_SECONDS = 0.8
"""Time within which a home has passed on what it was told."""


class Stream:
    """A stream that its caller leaves after some events.

    Attributes
    ----------
    origin : str
        The request that brought the first event.
    versions : list of str
        Versions of the events received so far.
    last_event : int
        Id of the last event received.
    """

    def __init__(self, origin: str) -> None:
        self.origin = origin
        self.versions: list[str] = []
        self.last_event = 0

    def begin(
        self, router: support.Router, request: str = "", *, stays: bool = False
    ) -> None:
        """Receive one event, by a take-up if a request is named, and leave."""
        headers = self._make_resuming_headers() if request else {}
        self._connection = self._send(router, request or self.origin, headers)
        self._answer = self._connection.getresponse()
        assert self._answer.status == 200
        self._record(read_event(self._answer))
        if not stays:
            self.leave()

    def leave(self) -> None:
        """Close the connection before the stream has ended."""
        self._answer.close()
        self._connection.close()

    def take_up(
        self, router: support.Router, request: str, origin: str | None = None
    ) -> http.client.HTTPResponse:
        """Ask for the rest of the stream; returns the whole answer."""
        headers = self._make_resuming_headers(origin)
        connection = self._send(router, request, headers)
        answer = connection.getresponse()
        answer.text = answer.read()
        connection.close()
        if answer.status == 200:
            self._record(answer.text)
        return answer

    def is_whole(self) -> bool:
        """Whether all events have arrived, all of one version."""
        return self.last_event == platformserver.EVENTS and (
            len(set(self.versions)) == 1
        )

    def _make_resuming_headers(self, origin: str | None = None) -> dict[str, str]:
        return {
            platformserver.LAST_EVENT_ID: str(self.last_event),
            platformserver.RESUMES: self.origin if origin is None else origin,
        }

    def _record(self, data: bytes) -> None:
        for line in data.decode().splitlines():
            if line.startswith("id: "):
                assert int(line[4:]) == self.last_event + 1
                self.last_event += 1
        self.versions += platformserver.list_versions(data)

    def _send(
        self, router: support.Router, request: str, headers: dict[str, str]
    ) -> http.client.HTTPConnection:
        connection = router.connect()
        sent = {
            "Host": support.HOST,
            "Celeryspan-Request-Id": request,
            "Celeryspan-Deadline-Ms": "2000",
            "Celeryspan-Credential": support.KEY,
            **{name: value for name, value in headers.items() if value},
        }
        connection.request("POST", PATH, body=b"asked", headers=sent)
        return connection


def read_event(answer: http.client.HTTPResponse) -> bytes:
    """Return the next event of a stream."""
    lines = []
    while line := answer.readline():
        lines.append(line)
        if line == b"\n":
            break
    return b"".join(lines)


def add_engines(
    cluster: support.Cluster, versions: dict[str, int], seconds: float = 0.1
) -> list[platformserver.PlatformServer]:
    """Start engines of several versions; a version maps to their number.

    Of engines with equal load, those of the later version are preferred.
    """
    engines = []
    for version, count in versions.items():
        for number in range(count):
            name = f"gpu-{9 - int(version[1:])}-{number}"
            engine = cluster.add_server(name, "planner", version=version)
            engine.event_seconds = seconds
            engines.append(engine)
    return engines


def begin_streams(router: support.Router, count: int = STREAMS) -> list[Stream]:
    """Return streams that run at the same time and are left by their callers."""
    streams = [Stream(f"origin-{number}") for number in range(count)]
    for stream in streams:
        stream.begin(router, stays=True)
    for stream in streams:
        stream.leave()
    return streams


def get_code(answer: http.client.HTTPResponse) -> str:
    """Return the code of a refusal."""
    return json.loads(answer.text)["error"]["code"]


def settle(*routers: support.Router) -> None:
    """Wait until the routers know each other."""
    for router in routers:
        alive = router.container.find("membership").alive
        support.wait_for(lambda alive=alive: len(alive()) >= len(routers))
    time.sleep(SHARED_SECONDS)


def test_broken_answer_goes_on_at_its_version(cluster) -> None:
    """Guards against one answer with events of two software versions."""
    engines = add_engines(cluster, {"v1": 2, "v2": 2}, seconds=0.0)
    for engine in engines:
        engine.script.extend(["cut_begun"] * 100)
    router = cluster.start_router()
    found = []
    for number in range(STREAMS):
        answer = router.call(PATH, f"r{number}")
        found.append(platformserver.list_versions(answer.text))
    assert [len(versions) for versions in found] == [platformserver.EVENTS] * STREAMS
    assert all(len(set(versions)) == 1 for versions in found)


def test_broken_answer_ends_if_no_engine_of_its_version_is_left(cluster) -> None:
    """Guards against a stream that goes on at another version for want of its own."""
    (engine,) = add_engines(cluster, {"v1": 1}, seconds=0.0)
    router = cluster.start_router()

    def leave(request, connection) -> bool:
        cluster.register_server(engine, "planner", state="draining")
        later = {each.name for each in add_engines(cluster, {"v2": 2})}
        usable = router.container.find("servers").usable
        support.wait_for(lambda: set(usable()) == later)
        return engine._do_cut_stream(request, connection)

    engine._do_leave = leave
    engine.script.append("leave")
    began = time.monotonic()
    with pytest.raises(http.client.IncompleteRead) as broken:
        router.call(PATH, "r1")
    assert set(platformserver.list_versions(broken.value.partial)) == {"v1"}
    assert time.monotonic() - began < REFUSED_SECONDS_MAX + 1.0


def test_caller_takes_stream_up_at_its_version(cluster) -> None:
    """Guards against streams of two versions after take-ups at another router."""
    add_engines(cluster, {"v1": 2, "v2": 2})
    routers = [cluster.start_router(f"edge-{number}") for number in range(3)]
    settle(*routers)
    streams = begin_streams(routers[0])
    for number, stream in enumerate(streams):
        stream.take_up(routers[1 + number % 2], f"again-{number}")
    assert all(stream.is_whole() for stream in streams)
    assert {stream.versions[0] for stream in streams} == {"v1", "v2"}


def test_stream_is_taken_up_after_its_router_has_stopped(cluster) -> None:
    """Guards against streams that can't go on because their router has restarted."""
    add_engines(cluster, {"v1": 2, "v2": 2})
    routers = [cluster.start_router(f"edge-{number}") for number in range(3)]
    settle(*routers)
    streams = begin_streams(routers[0])
    time.sleep(SHARED_SECONDS)
    routers[0].stop()
    joined = cluster.start_router("edge-3")
    settle(joined, routers[1])
    for number, stream in enumerate(streams):
        stream.take_up((routers[1], joined)[number % 2], f"again-{number}")
    assert all(stream.is_whole() for stream in streams)


def test_stream_is_taken_up_after_all_routers_were_killed_one_by_one(
    cluster, tmp_path
) -> None:
    """Guards against a router that is back at once and isn't told what it has lost."""
    add_engines(cluster, {"v1": 2, "v2": 2})
    store = str(cluster.store.address)
    with contextlib.ExitStack() as stack:
        routers = [
            stack.enter_context(
                processes.run_router(tmp_path, store, name=f"edge-{number}")
            )
            for number in range(4)
        ]
        time.sleep(SHARED_SECONDS)
        streams = begin_streams(routers[3])
        time.sleep(SHARED_SECONDS)
        names = [ids.RouterId(f"edge-{number}") for number in range(4)]
        for name, router in zip(names[:3], routers, strict=False):
            router.stop()
            router.start()
            router.wait_ready()
            expected = sum(
                name in streamversions.choose_holders(stream.origin, names)
                for stream in streams
            )
            support.wait_for(
                lambda found=router, least=expected: found.count_origins() >= least
            )
        routers[3].stop()
        for number, stream in enumerate(streams):
            stream.take_up(routers[number % 3], f"again-{number}")
    assert all(stream.is_whole() for stream in streams)


def test_stream_is_taken_up_twice(cluster) -> None:
    """Guards against a take-up that forgets which request began the stream."""
    add_engines(cluster, {"v1": 2, "v2": 2})
    routers = [cluster.start_router(f"edge-{number}") for number in range(2)]
    settle(*routers)
    for number in range(4):
        stream = Stream(f"origin-{number}")
        stream.begin(routers[0])
        others = [Stream(f"other-{number}-{each}") for each in range(3)]
        for other in others:
            other.begin(routers[0], stays=True)  # Makes the other version preferred.
        stream.begin(routers[1], f"again-{number}")
        for other in others:
            other.leave()
        assert stream.take_up(routers[0], f"third-{number}").status == 200
        assert stream.is_whole()


def test_stream_without_engine_of_its_version_is_refused_at_once(cluster) -> None:
    """Guards against callers that wait for a version that is gone."""
    engines = add_engines(cluster, {"v1": 2})
    routers = [cluster.start_router(f"edge-{number}") for number in range(2)]
    settle(*routers)
    streams = begin_streams(routers[0], 4)
    later = {each.name for each in add_engines(cluster, {"v2": 2})}
    for engine in engines:
        cluster.store.remove("servers", engine.name)
    for router in routers:
        usable = router.container.find("servers").usable
        support.wait_for(lambda usable=usable: set(usable()) == later)
    for number, stream in enumerate(streams):
        began = time.monotonic()
        answer = stream.take_up(routers[number % 2], f"again-{number}")
        assert (answer.status, get_code(answer)) == (503, "version-gone")
        assert time.monotonic() - began < REFUSED_SECONDS_MAX
        assert answer.getheader("Retry-After") is None
        assert b"first event" in answer.text


def test_reused_ids_and_addresses_are_of_the_new_version(cluster) -> None:
    """Guards against an engine that is taken for its earlier incarnation."""
    engines = add_engines(cluster, {"v1": 2})
    routers = [cluster.start_router(f"edge-{number}") for number in range(2)]
    settle(*routers)
    streams = begin_streams(routers[0], 4)
    for engine in engines:
        engine.version = "v2"
        cluster.register_server(engine, "planner", version="v2")
    for router in routers:
        usable = router.container.find("servers").usable
        support.wait_for(
            lambda usable=usable: {e.version for e in usable().values()} == {"v2"}
        )
    for number, stream in enumerate(streams):
        answer = stream.take_up(routers[number % 2], f"again-{number}")
        assert (answer.status, get_code(answer)) == (503, "version-gone")


@pytest.mark.parametrize(
    ("origin", "versions"),
    [("", {"v1": 2, "v2": 2}), ("never-seen", {"v1": 1, "v2": 1})],
)
def test_stream_of_unknown_origin_does_not_go_on(
    cluster, origin: str, versions: dict[str, int]
) -> None:
    """Guards against a guess at the version of a stream that no router knows."""
    add_engines(cluster, versions)
    routers = [cluster.start_router(f"edge-{number}") for number in range(2)]
    settle(*routers)
    stream = Stream("origin")
    stream.last_event = 2
    began = time.monotonic()
    answer = stream.take_up(routers[1], "again", origin)
    assert (answer.status, get_code(answer)) == (503, "origin-unknown")
    assert time.monotonic() - began < REFUSED_SECONDS_MAX


def test_caller_that_names_no_origin_goes_on_while_one_version_serves(cluster) -> None:
    """Guards against callers of an older protocol whose streams all end."""
    engines = add_engines(cluster, {"v1": 2})
    router = cluster.start_router()
    first, second = begin_streams(router, 2)
    assert first.take_up(router, "again-1", "").status == 200
    assert first.is_whole()
    add_engines(cluster, {"v2": 2})
    for engine in engines:
        cluster.store.remove("servers", engine.name)
    usable = router.container.find("servers").usable
    support.wait_for(lambda: {e.version for e in usable().values()} == {"v2"})
    answer = second.take_up(router, "again-2", "")
    assert (answer.status, get_code(answer)) == (503, "origin-unknown")


@pytest.mark.parametrize("serving", [{"v1": 2}, {"v2": 2}])
def test_stream_goes_on_only_where_the_store_proves_its_version(
    cluster, serving: dict[str, int]
) -> None:
    """Guards against a guess from the servers that a router sees, and against none."""
    spec = {"era": 1, "routes": ROUTES, "versions": ["v1"], "leaving": []}
    cluster.store.put("celeryspan-versions", "planner", spec)
    add_engines(cluster, serving)
    router = cluster.start_router()
    settle(router)
    stream = Stream("never-seen")
    stream.last_event = 2
    answer = stream.take_up(router, "again")
    if serving == {"v1": 2}:
        assert answer.status == 200
    else:
        assert (answer.status, get_code(answer)) == (503, "origin-unknown")


def test_take_up_waits_for_the_first_record(cluster) -> None:
    """Guards against a take-up that is refused because its router has just started."""
    add_engines(cluster, {"v1": 2})
    router = cluster.start_router()
    settle(router)
    kind, name = "celeryspan-versions", "planner"
    spec = cluster.store.find(kind, name)["spec"]
    cluster.store.remove(kind, name)
    threading.Timer(0.3, lambda: cluster.store.put(kind, name, spec)).start()
    stream = Stream("never-seen")
    stream.last_event = 2
    assert stream.take_up(router, "again", "").status == 200


def test_stream_without_any_proof_does_not_go_on(cluster) -> None:
    """Guards against a guess while neither peers nor the store can be asked."""
    add_engines(cluster, {"v1": 2})
    router = cluster.start_router()
    settle(router)
    cluster.store.faults.refuse_status = 503
    stream = Stream("never-seen")
    stream.last_event = 2
    began = time.monotonic()
    answer = stream.take_up(router, "again")
    assert (answer.status, get_code(answer)) == (503, "origin-unknown")
    assert time.monotonic() - began < REFUSED_SECONDS_MAX


def test_router_cut_off_from_its_peers_asks_the_store(cluster) -> None:
    """Guards against a router that goes on with a stream that it can't ask about."""
    add_engines(cluster, {"v1": 2, "v2": 2})
    routers = [cluster.start_router(f"edge-{number}") for number in range(2)]
    settle(*routers)
    (stream,) = begin_streams(routers[0], 1)
    time.sleep(SHARED_SECONDS)
    links = routers[1].container.find("links")
    links.send = lambda *_, **__: None
    origins = routers[1].container.find("streamorigins")
    origins._origins = streamversions.Origins()
    cluster.store.faults.refuse_status = 503
    answer = stream.take_up(routers[1], "again")
    assert (answer.status, get_code(answer)) == (503, "origin-unknown")
    cluster.store.faults.refuse_status = 0
    stream.take_up(routers[1], "again-2")
    assert stream.is_whole()


def test_version_that_appears_later_gets_no_stream_that_began_before(cluster) -> None:
    """Guards against streams that began while one version served alone."""
    engines = add_engines(cluster, {"v1": 2})
    routers = [cluster.start_router(f"edge-{number}") for number in range(2)]
    settle(*routers)
    streams = begin_streams(routers[0])
    add_engines(cluster, {"v2": 4})
    for router in routers:
        usable = router.container.find("servers").usable
        support.wait_for(lambda usable=usable: len(usable()) == len(engines) + 4)
    for number, stream in enumerate(streams):
        stream.take_up(routers[number % 2], f"again-{number}")
    assert all(stream.is_whole() for stream in streams)


def test_stream_that_began_while_its_server_may_have_restarted_goes_on_nowhere(
    cluster, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a server back under its id with a version that no entry names.

    The store is silent, so that the last known entry of the server still stands.
    """
    engines = add_engines(cluster, {"v1": 2})
    for engine in engines:
        cluster.register_server(engine, "planner", version="v1", born=1)
    routers = [cluster.start_router(f"edge-{number}") for number in range(2)]
    settle(*routers)
    servers = [router.container.find("servers") for router in routers]
    with monkeypatch.context() as patch:
        for service in servers:
            patch.setattr(service, "measure_age", lambda: 60.0)
        for engine in engines:
            engine.version = "v2"
        streams = begin_streams(routers[0], 4)
        assert {version for stream in streams for version in stream.versions} == {"v2"}
    time.sleep(SHARED_SECONDS)
    for engine in engines:
        engine.version = "v1"
    for number, stream in enumerate(streams):
        answer = stream.take_up(routers[number % 2], f"again-{number}")
        assert (answer.status, get_code(answer)) == (503, "version-gone")


def test_stream_on_a_connection_older_than_the_entries_goes_on(
    cluster, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against streams that all end because the store is silent for a while."""
    (engine,) = add_engines(cluster, {"v1": 1})
    cluster.register_server(engine, "planner", version="v1", born=1)
    router = cluster.start_router()
    settle(router)
    service = router.container.find("servers")
    with monkeypatch.context() as patch:
        patch.setattr(streamversions, "ENTRIES_AGE_SECONDS_MAX", -1.0)
        patch.setattr(service, "measure_age", lambda: 0.0)
        (stream,) = begin_streams(router, 1)
    assert stream.take_up(router, "again").status == 200
    assert stream.is_whole()


def test_run_is_not_moved_to_an_engine_of_another_version(cluster) -> None:
    """Guards against copies of runs that another software version can't read."""
    engines = add_engines(cluster, {"v1": 1, "v2": 1}, seconds=0.15)
    router = cluster.start_router()
    answers: list[http.client.HTTPResponse] = []
    thread = threading.Thread(target=lambda: answers.append(router.call(PATH)))
    thread.start()
    support.wait_for(lambda: any(engine.ran for engine in engines))
    source, target = sorted(engines, key=lambda each: not each.ran)
    found = router.container.find("places")
    support.wait_for(lambda: getattr(found.find_slot("r1"), "is_begun", False))
    own = router.container.find("identity").router
    move = messages.RunMove(ids.RequestId("r1"), POOL, source.name, target.name)
    router.container.find("delivery").send(own, move)
    thread.join()
    assert set(platformserver.list_versions(answers[0].text)) == {source.version}
    assert target.received == []


def test_take_up_finds_the_shard_with_its_version(cluster) -> None:
    """Guards against a stream that waits in a shard without its version."""
    add_engines(cluster, {"v1": 19, "v2": 1}, seconds=0.0)
    router = cluster.start_router()
    divided = router.container.find("poolmap").report
    support.wait_for(lambda: len(divided().get("planner", ())) > 1)
    origins = router.container.find("streamorigins")
    for number in range(8):
        stream = Stream(f"origin-{number}")
        stream.last_event, stream.versions = 1, ["v2"]
        origins.record(stream.origin, ids.ServiceId("planner"), "v2")
        began = time.monotonic()
        stream.take_up(router, f"again-{number}")
        assert stream.is_whole()
        assert time.monotonic() - began < REFUSED_SECONDS_MAX


def test_log_names_version_and_origin_of_a_taken_up_stream(cluster, logged) -> None:
    """Guards against histories that can't tell how a stream got to another version."""
    add_engines(cluster, {"v1": 1, "v2": 1})
    router = cluster.start_router()
    stream = Stream("logged-origin")
    stream.begin(router)
    stream.take_up(router, "logged-again")
    lines = support.find_lines(logged, events.Event.REQUEST_SENT)
    (first,) = [line for line in lines if line["request"] == "logged-origin"]
    (second,) = [line for line in lines if line["request"] == "logged-again"]
    assert first["version"] == second["version"] == stream.versions[0]
    assert (first["origin"], second["origin"]) == ("", "logged-origin")
