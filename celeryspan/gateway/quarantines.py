"""The kernel service ``quarantine``: refuses requests that crash servers.

Each router checks requests against its own copy of the fleet's suspects. Updates spread
by gossip; lost ones are detected by comparing digests with a random router.
"""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

import msgspec

from celeryspan import errors, events, ids, kernel, metrics
from celeryspan.decisions import (
    blame,
    crashes,
    fingerprints,
    gossip,
    quarantine,
    storeorder,
    suspectfeatures,
)
from celeryspan.gateway import standings
from celeryspan.wire import messages

if TYPE_CHECKING:
    from celeryspan.gateway import crashwatch, orders, requestprogress
    from celeryspan.services import datagrams, identity, links, membership

TICK_SECONDS = 0.05
"""Interval between two rounds of gossip."""

GOSSIP_FANOUT = 3
"""Routers that receive the updates of one round."""

FACTS_PER_DATAGRAM_MAX = 3
"""Suspects per datagram: three with the maximum number of strikes fit into 1,200
bytes."""

COMPARE_SECONDS = 1.0
"""Interval at which a router with suspects compares its digest with another router's,
and the minimum interval between two transfers of all its suspects."""

STARTUP_SECONDS = 5.0
"""Time after its start for which a router compares digests even without suspects."""

SETTLE_SECONDS = 0.5
"""Time after a change for which digests are not compared: they may differ only because
updates are still in flight."""

NOTHING_STORED = messages.SuspectsStored(0, 0)

STORED_KEY = "stored"
"""Gossip key of the fact that the store holds the suspects."""

CAUSES = {
    suspectfeatures.Kind.REQUEST: "this request",
    suspectfeatures.Kind.PART: "requests with a part of this prompt",
    suspectfeatures.Kind.TARGET: "requests of this path",
    suspectfeatures.Kind.SIZE: "requests with prompts of this size",
    suspectfeatures.Kind.MODEL: "requests of this model",
}
"""What is said of a refused request, by what it is refused for."""

UNKNOWN_CAUSE = "requests of this kind"
"""What is said for a kind of feature that only later versions know."""

Handler = Callable[[list[quarantine.StandingChange]], None]


class _Watched(msgspec.Struct):
    """A request in progress and the callback that refuses it while it waits."""

    order: orders.Order
    progress: requestprogress.Progress
    refuse: Callable[[errors.NotRun], None]


@kernel.register(
    "quarantine",
    needs=("crashwatch", "datagrams", "identity", "links", "membership", "metrics"),
)
class QuarantineService:
    """Tracks the requests that crash servers, and refuses them.

    Attributes
    ----------
    stored : SuspectsStored
        The newest known digest of the suspects in the store, and where in its history
        they were written.
    """

    def __init__(self, container: kernel.Kernel) -> None:
        self._crashwatch: crashwatch.CrashWatch = container.find("crashwatch")
        self._datagrams: datagrams.DatagramsService = container.find("datagrams")
        self._identity: identity.IdentityService = container.find("identity")
        self._links: links.LinksService = container.find("links")
        self._membership: membership.MembershipService = container.find("membership")
        self._metrics: metrics.Metrics = container.find("metrics")
        self._random = random.Random(self._identity.incarnation)
        self._quarantine = quarantine.Quarantine()
        self._standings = standings.Standings(self._quarantine, self._crashwatch)
        self._history = suspectfeatures.AnswerHistory()
        self._gossip = gossip.Gossip()
        self._lock = threading.Lock()
        self._watched: dict[int, _Watched] = {}
        self._handlers: list[Handler] = []
        self.stored = NOTHING_STORED
        self._is_restored = False
        self._changed_at = float("-inf")
        self._startup_until = time.monotonic() + STARTUP_SECONDS
        self._next_compare_at = self._next_transfer_at = 0.0
        self._wake = threading.Event()
        self._stopped = False
        self._thread = threading.Thread(
            target=self._run, name="quarantine", daemon=True
        )

    def start(self) -> None:
        """Subscribe to crashes and messages, and start the gossip thread."""
        self._crashwatch.subscribe(self._handle_crash)
        self._datagrams.subscribe(self._handle_frame)
        self._links.subscribe(messages.Suspect, self._handle_suspect)
        self._thread.start()

    def stop(self) -> None:
        """Stop the gossip thread."""
        self._stopped = True
        self._wake.set()
        self._thread.join()

    def subscribe(self, handler: Handler) -> None:
        """Register a handler to call with the changed standings after each update."""
        self._handlers.append(handler)

    def report(self) -> dict[str, object]:
        """Return the number of requests per standing, for operators."""
        return {
            standing.value: self._quarantine.count_by_standing(standing)
            for standing in quarantine.Standing
            if standing is not quarantine.Standing.CLEAR
        }

    @property
    def digest(self) -> int:
        """Hash of all suspects; 0 if there are none."""
        return self._quarantine.digest

    def list_suspects(self) -> list[messages.Suspect]:
        """Return all suspects."""
        with self._lock:
            return self._quarantine.list_suspects()

    def has_quarantined(self) -> bool:
        """Return whether any request is quarantined."""
        return self._quarantine.count_quarantined() > 0

    def watch(
        self,
        order: orders.Order,
        progress: requestprogress.Progress,
        refuse: Callable[[errors.NotRun], None],
    ) -> None:
        """Call ``refuse`` if a request is quarantined while it waits."""
        self._watched[id(order)] = _Watched(order, progress, refuse)

    def unwatch(self, order: orders.Order) -> None:
        """Stop watching a request that has ended."""
        del self._watched[id(order)]

    def find_standing(
        self, order: orders.Order, progress: requestprogress.Progress
    ) -> quarantine.Standing:
        """Return the strictest standing of a request and of its features."""
        return self._standings.find(order, progress)[0]

    def find_isolation(
        self, order: orders.Order, progress: requestprogress.Progress
    ) -> int:
        """Return what a request must be isolated for, or 0.

        The home runs one request at a time for each such value: a request itself, or
        the feature that it shares with others.
        """
        standing, value = self._standings.find(order, progress)
        return value if standing is quarantine.Standing.ISOLATED else 0

    def check(self, order: orders.Order, progress: requestprogress.Progress) -> None:
        """Refuse a quarantined request.

        Raises
        ------
        errors.NotRun
            If it is quarantined. If the request has been sent before, the calling code
            has to adjust the outcome.
        """
        standing, value = self._standings.find(order, progress)
        if standing is quarantine.Standing.QUARANTINED:
            raise self._make_refusal(value)

    def record_sent(
        self, order: orders.Order, progress: requestprogress.Progress
    ) -> None:
        """Record the number of consecutive crashes known when a request is sent."""
        progress.strikes = {}
        if self.find_standing(order, progress) is quarantine.Standing.CLEAR:
            return
        values = self._standings.list_values(order, progress)
        with self._lock:
            for value in values:
                suspect = self._quarantine.find_suspect(value)
                progress.strikes[value] = quarantine.count_trials(suspect)

    def record_answered(
        self, order: orders.Order, progress: requestprogress.Progress
    ) -> None:
        """Acquit a request that a server has answered, and the features that it has."""
        features = self._standings.list_features(order, progress)
        with self._lock:
            self._history.record(features, time.monotonic())
        if self.find_standing(order, progress) is quarantine.Standing.CLEAR:
            return
        values = self._standings.list_values(order, progress)
        with self._lock:
            acquitted = [self._quarantine.acquit(value) for value in values]
        known = [each for each in acquitted if each is not None]
        if known:
            self.merge(known)

    def merge(
        self, suspects: Iterable[messages.Suspect], *, spread: bool = True
    ) -> None:
        """Merge suspects and apply the resulting changes of standings.

        Parameters
        ----------
        spread : bool
            Whether to gossip what is new here. False for suspects that each router
            reads from the store at its own start.
        """
        now_ms = read_clock_ms()
        with self._lock:
            updated, changes = self._quarantine.merge(suspects, now_ms)
            for suspect in updated if spread else ():
                self._gossip.put(suspect.whole, suspect)
        if not updated:
            return
        self._changed_at = time.monotonic()
        self._apply_changes(changes)
        for suspect in updated:
            for strike in blame.list_strikes(suspect):
                self._crashwatch.confirm(strike.crash)
        for handler in self._handlers:
            handler(changes)
        self._wake.set()

    def record_stored(self, stored: messages.SuspectsStored) -> None:
        """Record what the store holds, and gossip it if it is newer than known.

        Without an order, two contradictory facts would replace each other throughout
        the fleet for ever.
        """
        with self._lock:
            known = self.stored
            era = storeorder.resolve_era(
                stored.era, known.era, is_restored=self._is_restored
            )
            if (era, stored.revision) <= (known.era, known.revision):
                return
            self.stored = msgspec.structs.replace(stored, era=era)
            self._gossip.put(STORED_KEY, self.stored)
        self._wake.set()

    def forget_stored(self, era: ids.Era) -> None:
        """Forget what the store held before it was restored in an era."""
        with self._lock:
            self._is_restored = True
            if self.stored.era < era:
                self.stored = msgspec.structs.replace(NOTHING_STORED, era=era)

    def _make_refusal(self, value: int) -> errors.NotRun:
        with self._lock:
            suspect = self._quarantine.find_suspect(value)
        strikes = suspect.strikes if suspect else ()
        latest = max((strike.at_ms for strike in strikes), default=0)
        left_ms = latest + quarantine.STRIKE_RETENTION_MS - read_clock_ms()
        cause = CAUSES.get(suspect.kind if suspect else 0, UNKNOWN_CAUSE)
        return errors.NotRun(
            f"{len(strikes)} servers crashed while running {cause}, so it is no longer"
            " sent to any. Change it, or ask the operators to release"
            f" {fingerprints.format_fingerprint(value)}",
            code="request-quarantined",
            status=429,
            retry_after=max(1.0, left_ms / 1000),
            step="check",
        )

    def _handle_crash(self, crash: crashes.Crash) -> None:
        self._metrics.count_server_crash(crash.evidence.value)
        now_ms = read_clock_ms()
        now = time.monotonic()
        self.merge(
            suspect
            for run in crash.runs
            for suspect in quarantine.make_suspects(
                run, crash.name, now_ms, self._history, now
            )
        )

    def _apply_changes(self, changes: list[quarantine.StandingChange]) -> None:
        """Log changes, update the gauges and refuse waiting quarantined requests."""
        for change in changes:
            log_change(change)
        if not changes:
            return
        count = self._quarantine.count_by_standing
        self._metrics.set_suspects(
            {each.value: count(each) for each in GAUGED_STANDINGS}
        )
        new_standings = {change.after for change in changes}
        if quarantine.Standing.QUARANTINED in new_standings:
            self._refuse_waiting()

    def _refuse_waiting(self) -> None:
        for watched in list(self._watched.values()):
            try:
                self.check(watched.order, watched.progress)
            except errors.NotRun as refusal:
                watched.refuse(refusal)

    def _handle_suspect(
        self, _: ids.RouterId, __: ids.Incarnation, suspect: messages.Suspect
    ) -> None:
        self.merge([suspect])

    def _handle_frame(self, frame: messages.Frame, source: ids.Address) -> None:
        suspects = [m for m in frame.messages if isinstance(m, messages.Suspect)]
        if suspects:
            self.merge(suspects)
        for message in frame.messages:
            if isinstance(message, messages.SuspectsStored):
                self.record_stored(message)
            elif isinstance(message, messages.SuspectsDigest):
                self._handle_digest(frame.sender, source, message)

    def _handle_digest(
        self, peer: ids.RouterId, source: ids.Address, theirs: messages.SuspectsDigest
    ) -> None:
        """Send all suspects to a router whose digest differs, and request its own.

        The digest sent back makes the peer transfer its suspects in turn.
        """
        own = self._quarantine.digest
        now = time.monotonic()
        is_settling = now - self._changed_at < SETTLE_SECONDS
        if theirs.digest == own or is_settling or now < self._next_transfer_at:
            return
        self._next_transfer_at = now + COMPARE_SECONDS
        for suspect in self.list_suspects():
            self._links.send(peer, suspect)
        if not theirs.is_answer:
            self._datagrams.send(source, [messages.SuspectsDigest(own, True)])

    def _run(self) -> None:
        while not self._stopped:
            self._wake.wait(self._compute_pause())
            self._wake.clear()
            try:
                self._send_updates(time.monotonic())
            except Exception as error:
                # If this thread ended, other routers would keep sending the requests
                # that this one has seen crash servers.
                events.log(
                    events.Event.TASK_FAILED, task="quarantine", error=repr(error)
                )
            if self._gossip:
                time.sleep(TICK_SECONDS)
                self._wake.set()

    def _compute_pause(self) -> float | None:
        """Return the seconds until the next comparison; None if none is due."""
        now = time.monotonic()
        if len(self._quarantine) or now < self._startup_until:
            return max(TICK_SECONDS, self._next_compare_at - now)
        return None

    def _send_updates(self, now: float) -> None:
        """Send updates to some routers, and a digest to one of them if it is due."""
        own = self._identity.router
        others = [each for each in self._membership.alive() if each.router != own]
        with self._lock:
            facts = self._gossip.take(len(others) + 1)
        targets = self._random.sample(others, min(GOSSIP_FANOUT, len(others)))
        for start in range(0, len(facts), FACTS_PER_DATAGRAM_MAX):
            for target in targets:
                batch = facts[start : start + FACTS_PER_DATAGRAM_MAX]
                self._datagrams.send(target.peer_address, batch)
        if now < self._next_compare_at or now - self._changed_at < SETTLE_SECONDS:
            return
        self._next_compare_at = now + COMPARE_SECONDS
        with self._lock:
            changes = self._quarantine.expire(read_clock_ms())
        self._apply_changes(changes)
        if targets:
            digest = messages.SuspectsDigest(self._quarantine.digest, False)
            self._datagrams.send(targets[0].peer_address, [digest])


GAUGED_STANDINGS = (
    quarantine.Standing.SUSPECT,
    quarantine.Standing.ISOLATED,
    quarantine.Standing.QUARANTINED,
)
"""Standings that are exported as gauges."""


def log_change(change: quarantine.StandingChange) -> None:
    """Log a change of standing with the crashes behind it."""
    event = STANDING_EVENTS.get(change.after)
    if change.before is quarantine.Standing.QUARANTINED:
        event = events.Event.REQUEST_RELEASED
    if event is None:
        return
    strikes = blame.list_strikes(change.suspect)
    events.log(
        event,
        fingerprint=fingerprints.format_fingerprint(change.suspect.whole),
        before=change.before.value,
        after=change.after.value,
        crashes=[strike.crash for strike in strikes],
        run_ms=[strike.run_ms for strike in strikes],
        trials=quarantine.count_trials(change.suspect),
    )


STANDING_EVENTS = {
    quarantine.Standing.ISOLATED: events.Event.REQUEST_ISOLATED,
    quarantine.Standing.QUARANTINED: events.Event.REQUEST_QUARANTINED,
}
"""Event to log when a request gets this standing."""


def read_clock_ms() -> int:
    """Return the time of day, in Unix milliseconds."""
    return time.time_ns() // 1_000_000
