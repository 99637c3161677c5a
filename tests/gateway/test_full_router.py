"""One router is asked for many times what it takes at a time, on real sockets."""

from __future__ import annotations

import concurrent.futures
import contextlib
import dataclasses
import pathlib

from tests.gateway import processes, support

THREADS = 8
CALLERS = 160
"""Callers that come at once, twenty times what the router takes."""

PATIENT = {"Celeryspan-Deadline-Ms": "30000"}

RESOLVE = "/v1/resolve?name=desk.example&region=r&zone=hala-a"


@dataclasses.dataclass(frozen=True, slots=True)
class Told:
    """What one caller got."""

    request: str
    status: int
    retry_after: str | None
    body: bytes


def ask(router: processes.ProcessRouter, request: str) -> Told:
    """Send one request on a connection of its own."""
    with contextlib.closing(processes.connect(router.caller_address)) as connection:
        answer = support.send_request(connection, "/notes/1", request, headers=PATIENT)
        retry_after = answer.getheader("Retry-After")
        return Told(request, answer.status, retry_after, answer.text)


def test_every_caller_of_a_full_router_is_served_or_told_when_to_return(
    cluster: support.Cluster, tmp_path: pathlib.Path
) -> None:
    """An account's callers all come to one router at once, far more than it takes.

    Callers met no connection, or waited unread until their deadlines; the directory
    beside the front did not answer, so that they stayed. Each is to get an answer: the
    whole stream, or a refusal that is true and says when to come back.
    """
    engine = cluster.add_server("planner-1", "planner", slots=64)
    engine.event_seconds = 0.02
    store = str(cluster.store.address)
    with processes.run_router(tmp_path, store, threads=THREADS) as router:
        with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
            asked = [pool.submit(ask, router, f"r{n}") for n in range(CALLERS)]
            assert router.get(router.directory_address, RESOLVE) == 200
            assert router.get(router.ready_address, "/v1/readyz") == 200
            told = [each.result() for each in asked]
    served = {each.request for each in told if each.status == 200}
    refused = {each.request for each in told if each.status == 503}
    assert len(served) + len(refused) == CALLERS
    assert served
    assert refused
    assert set(engine.ran) == served, "a refusal says that the request has not run"
    for each in told:
        if each.status == 200:
            assert each.body.endswith(b"piece 6\n\n")
        else:
            assert float(each.retry_after or 0) > 0
