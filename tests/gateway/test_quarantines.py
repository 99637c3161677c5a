"""What routers know of requests that crash servers, and how long."""

from __future__ import annotations

import http.client
import threading
import time
import types

import pytest

from celeryspan.decisions import quarantine
from celeryspan.wire import messages
from standins import crashing
from tests.gateway import support, test_migrations

FATAL = b"divide by zero"
Standing = quarantine.Standing
CUT = types.SimpleNamespace(text=b"")


def find_standing(router: support.Router, body: bytes, path: str = "/bookings/1"):
    """Return how a router treats a request."""
    whole = fingerprint(router, body, path).whole
    return router.box.find("quarantine")._quarantine.find_standing(whole)


def fingerprint(router: support.Router, body: bytes, path: str = "/bookings/1"):
    """Return the fingerprint of a request of the tests' account."""
    return router.box.find("crashwatch")._fingerprinter.compute(
        support.HOST, path.encode(), support.ACCOUNT, "POST", body
    )


def blame(
    router: support.Router, body: bytes, crashes: int, path: str = "/bookings/1"
) -> None:
    """Let a router know of some crashes under a request."""
    now_ms = time.time_ns() // 1_000_000
    found = fingerprint(router, body, path)
    strikes = tuple(
        messages.Strike(f"gone-{n}@0", now_ms - 10 + n, n, 100, True)
        for n in range(1, crashes + 1)
    )
    word = messages.Suspect(found.scope, found.whole, 0, strikes)
    router.box.find("quarantine").merge([word])


def start_fleet(cluster: support.Cluster, count: int = 2) -> list[support.Router]:
    """Start routers that know each other."""
    routers = [cluster.start_router(f"edge-{index}") for index in range(count)]
    found = [router.box.find("membership") for router in routers]
    support.wait_for(lambda: all(len(each.alive()) == count for each in found))
    return routers


def test_held_request_is_refused_with_its_cause_and_runs_nowhere(cluster) -> None:
    server = cluster.add_server("gate-1")
    router = cluster.start_router()
    blame(router, FATAL, 3)
    answer = router.call("/bookings/1", body=FATAL)
    assert answer.status == 429
    assert float(answer.getheader("Retry-After")) > 3600
    assert b"request-quarantined" in answer.text
    assert b"not-run" in answer.text
    assert str(fingerprint(router, FATAL)).encode() in answer.text
    assert router.call("/bookings/1", "r2", body=b"another").status == 200
    assert router.call("/bookings/2", "r3", body=FATAL).status == 200
    assert server.ran == ["r2", "r3"]


def test_other_routers_refuse_what_one_has_seen(cluster) -> None:
    server = cluster.add_server("gate-1")
    routers = start_fleet(cluster, 3)
    blame(routers[0], FATAL, 3)
    support.wait_for(
        lambda: all(
            find_standing(router, FATAL) is Standing.QUARANTINED for router in routers
        )
    )
    statuses = {router.call("/bookings/1", body=FATAL).status for router in routers}
    assert statuses == {429}
    assert server.ran == []


def test_router_that_starts_learns_from_the_others_while_the_store_is_silent(
    cluster,
) -> None:
    """Guards against a replaced VM by which a request crashes servers again."""
    cluster.add_server("gate-1")
    first = cluster.start_router("edge-1")
    support.wait_for(lambda: cluster.store.find("celeryspan-routers", "edge-1"))
    second = cluster.start_router("edge-2")
    support.wait_for(lambda: len(second.box.find("membership").alive()) == 2)
    cluster.store.faults.silent = True
    blame(first, FATAL, 3)
    support.wait_for(lambda: find_standing(second, FATAL) is Standing.QUARANTINED)
    assert cluster.store.find("celeryspan-quarantine", "main") is None


def test_news_that_were_lost_on_the_way_are_found_by_comparison(cluster) -> None:
    """Guards against a router that was cut off and goes on to crash servers."""
    cluster.add_server("gate-1")
    routers = start_fleet(cluster)
    cut = routers[1].box.find("quarantine")
    take_frame, cut._take_frame = cut._take_frame, lambda *_: None
    handlers = routers[1].box.find("datagrams")._handlers
    index = handlers.index(take_frame)
    handlers[index] = lambda *_: None
    blame(routers[0], FATAL, 3)
    support.wait_for(lambda: not routers[0].box.find("quarantine")._gossip)
    assert find_standing(routers[1], FATAL) is Standing.CLEAR
    handlers[index] = take_frame
    support.wait_for(lambda: find_standing(routers[1], FATAL) is Standing.QUARANTINED)


@pytest.mark.parametrize("crashes", [2, 3])
def test_restart_of_all_routers_forgets_nothing(cluster, crashes: int) -> None:
    cluster.add_server("gate-1")
    routers = start_fleet(cluster)
    blame(routers[0], FATAL, crashes)
    support.wait_for(lambda: cluster.store.find("celeryspan-quarantine", "main"))
    for router in routers:
        router.stop()
    again = cluster.start_router("edge-9")
    support.wait_for(lambda: find_standing(again, FATAL) is not Standing.CLEAR)
    expected = Standing.QUARANTINED if crashes == 3 else Standing.ISOLATED
    assert find_standing(again, FATAL) is expected


def test_store_that_was_away_gets_what_was_seen_meanwhile(cluster) -> None:
    cluster.add_server("gate-1")
    routers = start_fleet(cluster)
    cluster.store.faults.refuse_status = 503
    blame(routers[0], FATAL, 3)
    support.wait_for(lambda: find_standing(routers[1], FATAL) is Standing.QUARANTINED)
    assert cluster.store.find("celeryspan-quarantine", "main") is None
    cluster.store.faults.refuse_status = 0
    support.wait_for(lambda: cluster.store.find("celeryspan-quarantine", "main"))


def test_record_is_written_once_for_the_fleet(cluster) -> None:
    cluster.add_server("gate-1")
    routers = start_fleet(cluster, 3)
    blame(routers[0], FATAL, 2)
    own = [router.box.find("quarantine") for router in routers]
    support.wait_for(lambda: all(each.digest == own[0].digest for each in own))
    support.wait_for(lambda: all(each.stored.digest == own[0].digest for each in own))
    writes = cluster.store.calls_by_kind
    kind = "celeryspan-quarantine"
    assert writes[f"POST {kind}"] + writes[f"PUT {kind}"] == 1


def test_old_word_on_the_store_is_not_told_on(cluster) -> None:
    """Guards against two words on the store that chase each other for ever."""
    cluster.add_server("gate-1")
    router = cluster.start_router()
    known = router.box.find("quarantine")
    known.note_stored(messages.SuspectsStored(1, 20))
    known.note_stored(messages.SuspectsStored(2, 10))
    assert known.stored == messages.SuspectsStored(1, 20)
    support.wait_for(lambda: not known._gossip)


def test_record_of_another_writer_does_no_harm(cluster) -> None:
    cluster.add_server("gate-1")
    cluster.store.put("celeryspan-quarantine", "main", {"requests": [{"what": 1}]})
    router = cluster.start_router()
    blame(router, FATAL, 3)
    quarantined = router.box.find("quarantine")
    support.wait_for(lambda: quarantined.stored.digest == quarantined.digest)
    (row,) = cluster.store.find("celeryspan-quarantine", "main")["spec"]["requests"]
    assert row["fingerprint"] == str(fingerprint(router, FATAL))


def test_answer_at_one_router_acquits_at_all(cluster) -> None:
    """Guards against requests that are held though servers answer them."""
    cluster.add_server("gate-1")
    routers = start_fleet(cluster)
    blame(routers[0], b"fine", 2)
    support.wait_for(lambda: find_standing(routers[1], b"fine") is Standing.ISOLATED)
    assert routers[1].call("/bookings/1", body=b"fine").status == 200
    support.wait_for(lambda: find_standing(routers[0], b"fine") is Standing.CLEAR)


def test_copy_that_waits_is_refused_once_the_request_is_held(cluster) -> None:
    """Guards against a request that was queued when the verdict came."""
    server = cluster.add_server("gate-1")
    router = cluster.start_router()
    blame(router, FATAL, 2)
    server.script.append("silent")
    answers: list = []

    def call(request: str) -> None:
        headers = {"Celeryspan-Deadline-Ms": "9000"}
        answers.append(router.call("/bookings/1", request, body=FATAL, headers=headers))

    running = threading.Thread(target=call, args=("r1",))
    running.start()
    support.wait_for(lambda: server.ran == ["r1"])
    waiting = threading.Thread(target=call, args=("r2",))
    waiting.start()
    support.wait_for(lambda: router.box.find("places").report()["waiting"] == 1)
    blame(router, FATAL, 3)
    waiting.join()
    assert [answer.status for answer in answers] == [429]
    assert server.ran == ["r1"]
    server.stop()
    running.join()


class CutStream(test_migrations.Moving):
    """A stream in progress that may be cut."""

    def _ask(self, path: str) -> None:
        try:
            super()._ask(path)
        except http.client.HTTPException:
            self.answers.append(CUT)


def test_moved_run_is_not_resumed_once_the_request_is_held(cluster) -> None:
    """Guards against a copy of a request's memory that crashes one more server."""
    moving = CutStream(cluster, "/drafts/1")
    blame(moving.router, b"asked", 3, "/drafts/1")
    moving.move()
    assert moving.finish() == []
    assert moving.target.resumed == []
    assert moving.source.resumed == []
    assert moving.target.ran == []


def test_innocents_beside_a_crash_are_acquitted_by_their_next_answer(cluster) -> None:
    servers = crashing.CrashingServers(cluster.store, "planner", 2, {FATAL})
    try:
        for server in servers.servers:
            server.event_seconds = 0.1
        router = cluster.start_router()
        innocent = threading.Thread(
            target=router.call,
            args=("/drafts/2", "r1"),
            kwargs={"body": b"innocent"},
            daemon=True,
        )
        innocent.start()
        support.wait_for(lambda: any(each.ran for each in servers.servers))
        busy = next(each for each in servers.servers if each.ran)
        busy.crash()
        innocent.join()
        support.wait_for(
            lambda: len(router.box.find("quarantine").list_suspects()) == 1
        )
        # The first answer may have ended before the crash was known.
        assert router.call("/drafts/2", "r2", body=b"innocent").status == 200
        support.wait_for(
            lambda: find_standing(router, b"innocent", "/drafts/2") is Standing.CLEAR
        )
    finally:
        servers.stop()


def test_nothing_is_hashed_while_nothing_is_suspected(cluster, monkeypatch) -> None:
    """Guards against a price for every request of what one in millions needs."""
    cluster.add_server("gate-1")
    router = cluster.start_router()
    watch = router.box.find("crashwatch")
    hashed: list[object] = []
    monkeypatch.setattr(watch, "find_scope", hashed.append)
    monkeypatch.setattr(watch, "make_fingerprint", hashed.append)
    for number in range(5):
        assert router.call("/bookings/1", f"r{number}").status == 200
    assert hashed == []
