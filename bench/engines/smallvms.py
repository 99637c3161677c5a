"""Plays requests to a pool whose home and callers' routers have little processor time.

Beside the engines of :mod:`bench.engines.trial` each router is a VM whose processor
does its work in the order in which it comes: reading requests, passing answers on, and
the ledger of the pool at the router that is its home.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping, Sequence

import msgspec

from bench.engines import loads, site, trial
from celeryspan import ids
from celeryspan.decisions import pools, shards
from celeryspan.wire import messages

SERVICE = ids.ServiceId("engines")

READ_SECONDS = 0.001
"""Of a core, to read a request and ask for a place."""

PASS_SECONDS = 0.002
"""Of a core, to send a request on and pass its answer on."""

REFUSE_SECONDS = 0.00012
LEDGER_SECONDS = 0.0006
"""Of a core, for each message to the home of a pool."""

BACKLOG_SECONDS = 0.25
"""Work that waits at a router beyond which it refuses what comes."""


@dataclasses.dataclass(slots=True)
class Vm:
    """The processor of one router.

    Attributes
    ----------
    free_at : float
        When all work that has come is done, in seconds.
    """

    cores: float
    free_at: float = 0.0

    def work(self, now: float, seconds: float) -> float:
        """Take in work, in seconds of a core; returns when it is done."""
        self.free_at = max(now, self.free_at) + seconds / self.cores
        return self.free_at

    def measure_backlog(self, now: float) -> float:
        """Return how long new work waits, in seconds."""
        return max(0.0, self.free_at - now)


class _SmallVms(trial.Trial):
    """A trial in which each message takes processor time where it arrives."""

    def __init__(
        self,
        place: site.Site,
        asked: Sequence[loads.Arrival],
        seed: int,
        cores: Mapping[ids.RouterId, float],
        routers: Mapping[ids.AccountId, ids.RouterId],
    ) -> None:
        super().__init__(place, asked, seed)
        self._vms = {router: Vm(share) for router, share in cores.items()}
        self._routers = routers
        self._home = self._vms[find_home(cores)]

    def _do_ask(self, ask: messages.SlotRequest, now: float) -> None:
        """Let the caller's router read the request, or refuse it."""
        vm = self._vms[self._routers[ask.account]]
        if vm.measure_backlog(now) > BACKLOG_SECONDS:
            vm.work(now, REFUSE_SECONDS)
            self._outcomes[ask.request].is_refused = True
            return
        read_at = vm.work(now, READ_SECONDS)
        waited = read_at - now + 2 * self._delay()
        asked = msgspec.structs.replace(ask, waited=waited)
        self._plan(read_at + self._delay(), "home", ("decide", asked))

    def _do_home(self, work: tuple[str, object], now: float) -> None:
        """Let a message to the home wait for the home's processor."""
        kind, value = work
        self._plan(self._home.work(now, LEDGER_SECONDS), kind, value)

    def _do_decide(self, ask: messages.SlotRequest, now: float) -> None:
        router = self._routers[ask.account]
        self._send_answers(self._pool.ask(router, ask, now), now)

    def _send_answers(self, answers: Sequence[pools.Answer], now: float) -> None:
        """Let the router pass a request on, and its answer, before the server gets it.

        Passing an answer on takes its time while the answer comes; here it is all taken
        at once, which is the same for those that come after.
        """
        for answer in answers:
            if isinstance(answer.message, messages.SlotOffer):
                sent_at = self._vms[answer.router].work(now, PASS_SECONDS)
                self._plan(sent_at + self._delay(), "start", answer.message)
            else:
                self._outcomes[answer.message.request].is_refused = True

    def _do_begun(self, ask: messages.SlotRequest, now: float) -> None:
        self._plan(now, "home", ("take_begun", ask))

    def _do_ended(self, ask: messages.SlotRequest, now: float) -> None:
        self._plan(now, "home", ("take_ended", ask))

    def _do_take_begun(self, ask: messages.SlotRequest, now: float) -> None:
        super()._do_begun(ask, now)

    def _do_take_ended(self, ask: messages.SlotRequest, now: float) -> None:
        super()._do_ended(ask, now)


def find_home(cores: Mapping[ids.RouterId, float]) -> ids.RouterId:
    """Return the home of the pool."""
    return shards.find_homes(SERVICE, 1, tuple(cores), cores)[0]


def play(
    place: site.Site,
    asked: Sequence[loads.Arrival],
    *,
    cores: Mapping[ids.RouterId, float],
    routers: Mapping[ids.AccountId, ids.RouterId],
    seed: int = 0,
    until: float = 60.0,
) -> trial.Result:
    """Play requests at a deployment; the same seed gives the same result.

    Parameters
    ----------
    cores : mapping
        The part of a core that each router has.
    routers : mapping
        The router that all callers of an account use.
    """
    return _SmallVms(place, asked, seed, cores, routers).play(until)
