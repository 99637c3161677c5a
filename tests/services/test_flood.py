"""Tests that one account cannot occupy all threads of a router."""

from __future__ import annotations

from tests import scripted
from tests.services import test_caller, test_streams


def test_flood_of_one_account_does_not_block_another():
    """One account has the maximum of waiting requests; another must be served."""
    other = {"Authorization": f"Bearer {scripted.OTHER_KEY}"}
    servers = [test_caller.echo], [test_caller.generate]
    with scripted.run_router(*servers, caller_threads=8) as router:
        router.dispatch.full = True
        waiting = [test_streams.open_stream(router) for _ in range(4)]
        while len(router.dispatch.cancelled) < 4:
            pass
        refused = test_caller.ask(router, "POST", "/v1/services/gate-desk/x")
        router.dispatch.full = False
        path = "/v1/services/gate-desk/x"
        served = test_caller.ask(router, "POST", path, headers=other)
        for connection in waiting:
            connection.close()
    assert (refused.status, refused.json()["error"]["code"]) == (429, "account-full")
    assert 1 <= int(refused.headers["Retry-After"]) <= 4
    assert served.status == 200
