"""Plays loads to routers with little processor time and checks what accounts get."""

from __future__ import annotations

import dataclasses
import random

from bench.engines import loads, smallvms, trial
from celeryspan import ids
from celeryspan.decisions import homes
from tests.decisions import test_pools

SMALL_CORES, LARGE_CORES = 0.5, 2.0
FLOOD, BEHIND_SMALL_VM = ids.AccountId("flood"), ids.AccountId("behind-small-vm")
ROUTERS = [ids.RouterId(f"edge-{number}") for number in range(8)]

HASHED_HOME = homes.find_home(ids.ServerId("engines"), ROUTERS)
"""The router that a hash of the names alone selects as home of the pool."""

SITE = dataclasses.replace(test_pools.SITE, engines=2)


def play() -> trial.Result:
    """Play two floods; the callers of one of them use the hashed home's router."""
    cores = dict.fromkeys(ROUTERS, SMALL_CORES)
    large = [router for router in ROUTERS if router != HASHED_HOME][:2]
    cores.update(dict.fromkeys(large, LARGE_CORES))
    parts = [
        test_pools.make_notes(400, accounts=(FLOOD,)),
        test_pools.make_notes(150, accounts=(BEHIND_SMALL_VM,), first_subject=1000),
    ]
    asked = loads.generate_arrivals(parts, 8.0, random.Random(7))
    routers = {FLOOD: large[0], BEHIND_SMALL_VM: HASHED_HOME}
    return smallvms.play(SITE, asked, cores=cores, routers=routers, seed=7)


def test_account_behind_a_small_vm_gets_its_share_beside_a_flood() -> None:
    """Guards against a home on the small VM that serves all callers of one account."""
    result = play()
    share = result.tokens_by_account[BEHIND_SMALL_VM] / result.tokens_by_account[FLOOD]
    assert 0.75 <= share <= 1.34


def test_engines_are_busy_despite_an_overloaded_small_vm() -> None:
    """Guards against a home that can't decide on the requests of a flood in time."""
    assert play().utilisation >= 0.85
