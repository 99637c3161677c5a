"""Loads played to routers with little processor time, and what accounts get."""

from __future__ import annotations

import dataclasses
import random

from bench.engines import loads, smallvms, trial
from celeryspan import ids
from celeryspan.decisions import homes
from tests.decisions import test_pools

SMALL, STRONG = 0.5, 2.0
LOUD, HELD = ids.AccountId("loud"), ids.AccountId("held")
ROUTERS = [ids.RouterId(f"edge-{number}") for number in range(8)]

HASHED = homes.find_home(ids.ServerId("engines"), ROUTERS)
"""The router that a hash of names alone makes home of the pool."""

SITE = dataclasses.replace(test_pools.SITE, engines=2)


def play() -> trial.Result:
    """Play two floods, the callers of one of them behind the hashed home."""
    cores = dict.fromkeys(ROUTERS, SMALL)
    strong = [router for router in ROUTERS if router != HASHED][:2]
    cores.update(dict.fromkeys(strong, STRONG))
    parts = [
        test_pools.make_notes(400, accounts=(LOUD,)),
        test_pools.make_notes(150, accounts=(HELD,), subjects_from=1000),
    ]
    asked = loads.merge(parts, 8.0, random.Random(7))
    routers = {LOUD: strong[0], HELD: HASHED}
    return smallvms.play(SITE, asked, cores=cores, routers=routers, seed=7)


def test_account_behind_a_small_vm_gets_its_share_beside_a_flood() -> None:
    """Guards against a home on the small VM that carries all of one account."""
    result = play()
    share = result.tokens_by_account[HELD] / result.tokens_by_account[LOUD]
    assert 0.75 <= share <= 1.34


def test_engines_do_not_idle_behind_a_home_without_processor_time() -> None:
    """Guards against a flood that the home of a pool can't decide in time."""
    assert play().use >= 0.85
