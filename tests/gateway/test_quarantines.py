"""Tests of how routers share and store suspects and refuse quarantined requests."""

from __future__ import annotations

import http.client
import threading
import time
import types

import pytest

from celeryspan.decisions import quarantine
from celeryspan.platform import names, quarantine as records
from celeryspan.wire import messages
from standins import crashing
from tests.gateway import support, test_migrations

FATAL = b"divide by zero"
Standing = quarantine.Standing
CUT_ANSWER = types.SimpleNamespace(text=b"")


def find_standing(router: support.Router, body: bytes, path: str = "/bookings/1"):
    """Return the standing of a request at a router."""
    whole = compute_fingerprint(router, body, path).whole
    return router.container.find("quarantine")._quarantine.find_standing(whole)


def compute_fingerprint(router: support.Router, body: bytes, path: str = "/bookings/1"):
    """Return the fingerprint of a request of the test account."""
    return router.container.find("crashwatch")._fingerprinter.compute(
        support.HOST, path.encode(), support.ACCOUNT, "POST", body
    )


def add_strikes(
    router: support.Router, body: bytes, crashes: int, path: str = "/bookings/1"
) -> None:
    """Record crashes against a request at a router."""
    suspect = make_suspect(router, body, crashes, path)
    router.container.find("quarantine").merge([suspect])


def make_suspect(
    router: support.Router,
    body: bytes,
    crashes: int = 3,
    path: str = "/bookings/1",
    server: str = "gone",
) -> messages.Suspect:
    """Return a request under which servers have crashed."""
    now_ms = time.time_ns() // 1_000_000
    found = compute_fingerprint(router, body, path)
    strikes = tuple(
        messages.Strike(f"{server}-{n}@0", now_ms - 10 + n, n, 100, True)
        for n in range(1, crashes + 1)
    )
    return messages.Suspect(found.scope, found.whole, 0, strikes)


def start_fleet(cluster: support.Cluster, count: int = 2) -> list[support.Router]:
    """Start routers and wait until each lists all others as alive."""
    routers = [cluster.start_router(f"edge-{index}") for index in range(count)]
    found = [router.container.find("membership") for router in routers]
    support.wait_for(lambda: all(len(each.alive()) == count for each in found))
    return routers


def test_quarantined_request_is_refused_with_the_reason_and_never_runs(cluster) -> None:
    server = cluster.add_server("gate-1")
    router = cluster.start_router()
    add_strikes(router, FATAL, 3)
    answer = router.call("/bookings/1", body=FATAL)
    assert answer.status == 429
    assert float(answer.getheader("Retry-After")) > 3600
    assert b"request-quarantined" in answer.text
    assert b"not-run" in answer.text
    assert str(compute_fingerprint(router, FATAL)).encode() in answer.text
    assert router.call("/bookings/1", "r2", body=b"another").status == 200
    assert router.call("/bookings/2", "r3", body=FATAL).status == 200
    assert server.ran == ["r2", "r3"]


def test_quarantine_at_one_router_applies_at_all(cluster) -> None:
    server = cluster.add_server("gate-1")
    routers = start_fleet(cluster, 3)
    add_strikes(routers[0], FATAL, 3)
    support.wait_for(
        lambda: all(
            find_standing(router, FATAL) is Standing.QUARANTINED for router in routers
        )
    )
    statuses = {router.call("/bookings/1", body=FATAL).status for router in routers}
    assert statuses == {429}
    assert server.ran == []


def test_new_router_learns_from_the_others_while_the_store_is_unavailable(
    cluster,
) -> None:
    """Guards against a replaced VM whose router sends a quarantined request."""
    cluster.add_server("gate-1")
    first = cluster.start_router("edge-1")
    support.wait_for(lambda: cluster.store.find("celeryspan-routers", "edge-1"))
    second = cluster.start_router("edge-2")
    support.wait_for(lambda: len(second.container.find("membership").alive()) == 2)
    cluster.store.faults.silent = True
    add_strikes(first, FATAL, 3)
    support.wait_for(lambda: find_standing(second, FATAL) is Standing.QUARANTINED)
    assert cluster.store.find("celeryspan-quarantine", "main") is None


def test_lost_updates_are_recovered_by_comparing_digests(cluster) -> None:
    """Guards against a router that missed updates while it was partitioned."""
    cluster.add_server("gate-1")
    routers = start_fleet(cluster)
    partitioned = routers[1].container.find("quarantine")
    handle_frame, partitioned._handle_frame = partitioned._handle_frame, lambda *_: None
    handlers = routers[1].container.find("datagrams")._handlers
    index = handlers.index(handle_frame)
    handlers[index] = lambda *_: None
    add_strikes(routers[0], FATAL, 3)
    support.wait_for(lambda: not routers[0].container.find("quarantine")._gossip)
    assert find_standing(routers[1], FATAL) is Standing.CLEAR
    handlers[index] = handle_frame
    support.wait_for(lambda: find_standing(routers[1], FATAL) is Standing.QUARANTINED)


@pytest.mark.parametrize("crashes", [2, 3])
def test_suspects_persist_when_all_routers_restart(cluster, crashes: int) -> None:
    cluster.add_server("gate-1")
    routers = start_fleet(cluster)
    add_strikes(routers[0], FATAL, crashes)
    support.wait_for(lambda: cluster.store.find("celeryspan-quarantine", "main"))
    for router in routers:
        router.stop()
    restarted = cluster.start_router("edge-9")
    support.wait_for(lambda: find_standing(restarted, FATAL) is not Standing.CLEAR)
    expected = Standing.QUARANTINED if crashes == 3 else Standing.ISOLATED
    assert find_standing(restarted, FATAL) is expected


def test_suspects_are_stored_once_the_store_is_available_again(cluster) -> None:
    cluster.add_server("gate-1")
    routers = start_fleet(cluster)
    cluster.store.faults.refuse_status = 503
    add_strikes(routers[0], FATAL, 3)
    support.wait_for(lambda: find_standing(routers[1], FATAL) is Standing.QUARANTINED)
    assert cluster.store.find("celeryspan-quarantine", "main") is None
    cluster.store.faults.refuse_status = 0
    support.wait_for(lambda: cluster.store.find("celeryspan-quarantine", "main"))


def test_suspects_are_written_once_for_the_fleet(cluster) -> None:
    cluster.add_server("gate-1")
    routers = start_fleet(cluster, 3)
    add_strikes(routers[0], FATAL, 2)
    services = [router.container.find("quarantine") for router in routers]
    support.wait_for(
        lambda: all(each.digest == services[0].digest for each in services)
    )
    support.wait_for(
        lambda: all(each.stored.digest == services[0].digest for each in services)
    )
    writes = cluster.store.calls_by_kind
    kind = "celeryspan-quarantine"
    assert writes[f"POST {kind}"] + writes[f"PUT {kind}"] == 1


def test_outdated_stored_fact_is_ignored(cluster) -> None:
    """Guards against two contradictory facts that the fleet gossips for ever."""
    cluster.add_server("gate-1")
    router = cluster.start_router()
    service = router.container.find("quarantine")
    service.record_stored(messages.SuspectsStored(1, 20))
    service.record_stored(messages.SuspectsStored(2, 10))
    assert service.stored == messages.SuspectsStored(1, 20)
    support.wait_for(lambda: not service._gossip)


def test_invalid_stored_object_is_replaced(cluster) -> None:
    cluster.add_server("gate-1")
    cluster.store.put("celeryspan-quarantine", "main", {"requests": [{"what": 1}]})
    router = cluster.start_router()
    add_strikes(router, FATAL, 3)
    service = router.container.find("quarantine")
    support.wait_for(lambda: service.stored.digest == service.digest)
    (row,) = cluster.store.find("celeryspan-quarantine", "main")["spec"]["requests"]
    assert row["fingerprint"] == str(compute_fingerprint(router, FATAL))


def test_acquittal_at_one_router_applies_at_all(cluster) -> None:
    """Guards against restricting requests that servers answer."""
    cluster.add_server("gate-1")
    routers = start_fleet(cluster)
    add_strikes(routers[0], b"fine", 2)
    support.wait_for(lambda: find_standing(routers[1], b"fine") is Standing.ISOLATED)
    assert routers[1].call("/bookings/1", body=b"fine").status == 200
    support.wait_for(lambda: find_standing(routers[0], b"fine") is Standing.CLEAR)


def test_waiting_copy_is_refused_once_the_request_is_quarantined(cluster) -> None:
    """Guards against sending a copy that was queued before the quarantine."""
    server = cluster.add_server("gate-1")
    router = cluster.start_router()
    add_strikes(router, FATAL, 2)
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
    support.wait_for(lambda: router.container.find("places").report()["waiting"] == 1)
    add_strikes(router, FATAL, 3)
    waiting.join()
    assert [answer.status for answer in answers] == [429]
    assert server.ran == ["r1"]
    server.stop()
    running.join()


class CutStream(test_migrations.MigratingStream):
    """A stream in progress that may end early."""

    def _ask(self, path: str) -> None:
        try:
            super()._ask(path)
        except http.client.HTTPException:
            self.answers.append(CUT_ANSWER)


def test_migrating_run_is_not_resumed_once_the_request_is_quarantined(cluster) -> None:
    """Guards against a run that migrates and crashes its target server as well."""
    moving = CutStream(cluster, "/drafts/1")
    add_strikes(moving.router, b"asked", 3, "/drafts/1")
    moving.request_migration()
    assert moving.finish() == []
    assert moving.target.resumed == []
    assert moving.source.resumed == []
    assert moving.target.ran == []


def test_request_that_ran_during_a_crash_is_acquitted_by_its_next_answer(
    cluster,
) -> None:
    servers = crashing.CrashingServers(cluster.store, "planner", 2, {FATAL})
    try:
        for server in servers.servers:
            server.event_seconds = 0.1
        router = cluster.start_router()
        bystander = threading.Thread(
            target=router.call,
            args=("/drafts/2", "r1"),
            kwargs={"body": b"innocent"},
            daemon=True,
        )
        bystander.start()
        support.wait_for(lambda: any(each.ran for each in servers.servers))
        busy = next(each for each in servers.servers if each.ran)
        busy.crash()
        bystander.join()
        suspects = router.container.find("quarantine").list_suspects
        support.wait_for(lambda: sum(not each.kind for each in suspects()) == 1)
        # The first answer may have ended before the crash was known.
        assert router.call("/drafts/2", "r2", body=b"innocent").status == 200
        support.wait_for(
            lambda: find_standing(router, b"innocent", "/drafts/2") is Standing.CLEAR
        )
    finally:
        servers.stop()


def test_no_request_is_hashed_while_there_are_no_suspects(cluster, monkeypatch) -> None:
    """Guards against hashing every request for the sake of very few suspects."""
    cluster.add_server("gate-1")
    router = cluster.start_router()
    crash_watch = router.container.find("crashwatch")
    hashed: list[object] = []
    monkeypatch.setattr(crash_watch, "compute_scope", hashed.append)
    monkeypatch.setattr(crash_watch, "compute_fingerprint", hashed.append)
    for number in range(5):
        assert router.call("/bookings/1", f"r{number}").status == 200
    assert hashed == []


def find_stored(cluster: support.Cluster) -> dict | None:
    """Return the stored object that holds the suspects."""
    return cluster.store.find(names.QUARANTINE_KIND, names.QUARANTINE_NAME)


def test_suspects_that_the_store_has_lost_are_written_again(cluster) -> None:
    """Guards against a quarantine that a restart of all routers would end."""
    routers = start_fleet(cluster)
    copy = cluster.store.copy()
    add_strikes(routers[0], FATAL, 3)
    support.wait_for(lambda: find_stored(cluster))
    stored = find_stored(cluster)["spec"]
    cluster.store.restore(copy)
    support.wait_for(lambda: find_stored(cluster))
    assert find_stored(cluster)["spec"] == stored


def test_write_at_a_revision_given_out_again_is_merged_first(cluster) -> None:
    """Guards against a conditional write that replaces another writer's suspects."""
    routers = start_fleet(cluster)
    cluster.store.put(names.QUARANTINE_KIND, names.QUARANTINE_NAME, records.write([]))
    copy = cluster.store.copy()
    cluster.store.put("notes", "n1", {})
    add_strikes(routers[0], FATAL, 3)
    support.wait_for(
        lambda: find_stored(cluster)["metadata"]["revision"] > copy.revision
    )
    lost = find_stored(cluster)["metadata"]["revision"]
    other = make_suspect(routers[0], b"other", server="lost")
    cluster.store.faults.refuse_status = 503
    cluster.store.restore(copy)
    while cluster.store.put("notes", "n1", {}) < lost - 1:
        pass
    cluster.store.put(
        names.QUARANTINE_KIND, names.QUARANTINE_NAME, records.write([other])
    )
    assert find_stored(cluster)["metadata"]["revision"] == lost
    cluster.store.faults.refuse_status = 0
    for router in routers:
        for body in (FATAL, b"other"):
            support.wait_for(
                lambda found=router, body=body: (
                    find_standing(found, body) is Standing.QUARANTINED
                )
            )
