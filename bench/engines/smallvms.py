"""Simulates a pool whose home and routers run on VMs with little processor time.

In addition to the engines of :mod:`bench.engines.trial`, each router is a VM with a
processor that handles work in order of arrival: reading requests, relaying answers,
and the ledger of the pool at the router that is its home.
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
"""Core time to read a request and ask for a slot."""

FORWARD_SECONDS = 0.002
"""Core time to forward a request and relay its answer."""

REFUSE_SECONDS = 0.00012
"""Core time to refuse a request."""

LEDGER_SECONDS = 0.0006
"""Core time per message to the home of a pool."""

BACKLOG_SECONDS_MAX = 0.25
"""A router with more queued work than this refuses new requests."""


@dataclasses.dataclass(slots=True)
class Vm:
    """The processor of one router.

    Attributes
    ----------
    cores : float
        Processor time per second that the VM gets, in cores.
    free_at : float
        Time at which all queued work is done.
    """

    cores: float
    free_at: float = 0.0

    def work(self, now: float, seconds: float) -> float:
        """Queue work, in seconds of one core; returns when it is done."""
        self.free_at = max(now, self.free_at) + seconds / self.cores
        return self.free_at

    def measure_backlog(self, now: float) -> float:
        """Return how long new work would wait, in seconds."""
        return max(0.0, self.free_at - now)


class _SmallVms(trial.Trial):
    """A trial in which each message takes processor time at its receiver."""

    def __init__(
        self,
        deployment: site.Site,
        arrivals: Sequence[loads.Arrival],
        seed: int,
        cores: Mapping[ids.RouterId, float],
        routers: Mapping[ids.AccountId, ids.RouterId],
    ) -> None:
        super().__init__(deployment, arrivals, seed)
        self._vms = {router: Vm(share) for router, share in cores.items()}
        self._routers = routers
        self._home = self._vms[find_home(cores)]

    def _do_ask(self, ask: messages.SlotRequest, now: float) -> None:
        """Read the request at the caller's router, or refuse it under overload."""
        vm = self._vms[self._routers[ask.account]]
        if vm.measure_backlog(now) > BACKLOG_SECONDS_MAX:
            vm.work(now, REFUSE_SECONDS)
            self._outcomes[ask.request].is_refused = True
            return
        read_at = vm.work(now, READ_SECONDS)
        waited = read_at - now + 2 * self._delay()
        delayed = msgspec.structs.replace(ask, waited=waited)
        self._schedule(read_at + self._delay(), "home", ("decide", delayed))

    def _do_home(self, work: tuple[str, object], now: float) -> None:
        """Handle a message once the home's processor has time for it."""
        kind, value = work
        self._schedule(self._home.work(now, LEDGER_SECONDS), kind, value)

    def _do_decide(self, ask: messages.SlotRequest, now: float) -> None:
        router = self._routers[ask.account]
        self._send_answers(self._pool.ask(router, ask, now), now)

    def _send_answers(self, answers: Sequence[pools.Answer], now: float) -> None:
        """Charge the router for forwarding and relaying before the request is sent.

        In reality the cost of relaying is spread over the answer. Charging it at once
        delays later work by the same total.
        """
        for answer in answers:
            if isinstance(answer.message, messages.SlotOffer):
                sent_at = self._vms[answer.router].work(now, FORWARD_SECONDS)
                self._schedule(sent_at + self._delay(), "start", answer.message)
            else:
                self._outcomes[answer.message.request].is_refused = True

    def _do_begun(self, ask: messages.SlotRequest, now: float) -> None:
        self._schedule(now, "home", ("record_begun", ask))

    def _do_ended(self, ask: messages.SlotRequest, now: float) -> None:
        self._schedule(now, "home", ("record_ended", ask))

    def _do_record_begun(self, ask: messages.SlotRequest, now: float) -> None:
        super()._do_begun(ask, now)

    def _do_record_ended(self, ask: messages.SlotRequest, now: float) -> None:
        super()._do_ended(ask, now)


def find_home(cores: Mapping[ids.RouterId, float]) -> ids.RouterId:
    """Return the router that is the home of the pool."""
    return shards.find_homes(SERVICE, 1, tuple(cores), cores)[0]


def play(
    deployment: site.Site,
    arrivals: Sequence[loads.Arrival],
    *,
    cores: Mapping[ids.RouterId, float],
    routers: Mapping[ids.AccountId, ids.RouterId],
    seed: int = 0,
    until: float = 60.0,
) -> trial.Result:
    """Simulate a deployment; deterministic for a given seed.

    Parameters
    ----------
    cores : mapping
        Cores that each router has; may be a fraction.
    routers : mapping
        Router that all callers of an account use.
    """
    return _SmallVms(deployment, arrivals, seed, cores, routers).play(until)
