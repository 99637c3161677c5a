"""The kernel service ``quarantine``: keeps requests that crash servers away from them.

Each router looks requests up in its own copy of what the fleet knows. News travel by
gossip; what was lost on the way is found by comparing digests with a random router.
"""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

import msgspec

from celeryspan import errors, events, ids, kernel, metrics
from celeryspan.decisions import crashes, fingerprints, gossip, quarantine
from celeryspan.wire import messages

if TYPE_CHECKING:
    from celeryspan.gateway import crashwatch, orders, requestprogress
    from celeryspan.services import datagrams, identity, links, membership

TICK_SECONDS = 0.05
"""Between two rounds of news."""

TARGETS = 3
"""Routers that hear the news of one round."""

DATAGRAM_FACTS = 3
"""Suspects in one datagram: with all their strikes they fit into 1,200 bytes."""

COMPARE_SECONDS = 1.0
"""How often a router that knows of suspects compares its digest with another one's, and
how often at most it sends all that it knows."""

STARTING_SECONDS = 5.0
"""How long after its start a router compares even if it knows of none."""

SETTLED_SECONDS = 0.5
"""News that are younger are still on their way; digests differ for no fault."""

STORED = "stored"
"""Key of the fact that what is known is in the store."""

Handler = Callable[[list[quarantine.StandingChange]], None]


class _Watched(msgspec.Struct):
    """A request in progress, and what refuses it while it waits."""

    order: orders.Order
    progress: requestprogress.Progress
    refuse: Callable[[errors.NotRun], None]


@kernel.register(
    "quarantine",
    needs=("crashwatch", "datagrams", "identity", "links", "membership", "metrics"),
)
class QuarantineService:
    """Knows which requests crash servers, and refuses them.

    Attributes
    ----------
    stored : SuspectsStored
        The newest word on what the store holds.
    """

    def __init__(self, box: kernel.Kernel) -> None:
        self._crashwatch: crashwatch.CrashWatch = box.find("crashwatch")
        self._datagrams: datagrams.DatagramsService = box.find("datagrams")
        self._identity: identity.IdentityService = box.find("identity")
        self._links: links.LinksService = box.find("links")
        self._membership: membership.MembershipService = box.find("membership")
        self._meters: metrics.Metrics = box.find("metrics")
        self._random = random.Random(self._identity.incarnation)
        self._quarantine = quarantine.Quarantine()
        self._gossip = gossip.Gossip()
        self._lock = threading.Lock()
        self._watched: dict[int, _Watched] = {}
        self._handlers: list[Handler] = []
        self.stored = messages.SuspectsStored(0, 0)
        self._changed_at = float("-inf")
        self._starting_until = time.monotonic() + STARTING_SECONDS
        self._compare_at = self._exchange_at = 0.0
        self._wake = threading.Event()
        self._stopped = False
        self._thread = threading.Thread(
            target=self._run, name="quarantine", daemon=True
        )

    def start(self) -> None:
        """Begin to listen and to tell."""
        self._crashwatch.subscribe(self._take_crash)
        self._datagrams.subscribe(self._take_frame)
        self._links.subscribe(messages.Suspect, self._take_suspect)
        self._thread.start()

    def stop(self) -> None:
        """Stop telling."""
        self._stopped = True
        self._wake.set()
        self._thread.join()

    def subscribe(self, handler: Handler) -> None:
        """Call a handler with what has changed whenever more is known."""
        self._handlers.append(handler)

    def report(self) -> dict[str, object]:
        """Return how many requests are treated how, for the operator."""
        return {
            standing.value: self._quarantine.count_by_standing(standing)
            for standing in quarantine.Standing
            if standing is not quarantine.Standing.CLEAR
        }

    @property
    def digest(self) -> int:
        """Digest of what this router knows."""
        return self._quarantine.digest

    def list_suspects(self) -> list[messages.Suspect]:
        """Return what this router knows."""
        with self._lock:
            return self._quarantine.list_suspects()

    def has_quarantined(self) -> bool:
        """Whether any request is refused."""
        return self._quarantine.count_quarantined() > 0

    def watch(
        self,
        order: orders.Order,
        progress: requestprogress.Progress,
        refuse: Callable[[errors.NotRun], None],
    ) -> None:
        """Call back if a request comes into quarantine while it waits."""
        self._watched[id(order)] = _Watched(order, progress, refuse)

    def unwatch(self, order: orders.Order) -> None:
        """Forget a request that has ended."""
        del self._watched[id(order)]

    def find_standing(
        self, order: orders.Order, progress: requestprogress.Progress
    ) -> quarantine.Standing:
        """Return how a request is treated; costs nothing while none is suspected."""
        known = self._quarantine
        if known.is_empty:
            return quarantine.Standing.CLEAR
        if progress.fingerprint is None:
            if not known.may_be_suspect(self._crashwatch.compute_scope(order)):
                return quarantine.Standing.CLEAR
            progress.fingerprint = self._crashwatch.compute_fingerprint(order)
        return known.find_standing(progress.fingerprint.whole)

    def check(self, order: orders.Order, progress: requestprogress.Progress) -> None:
        """Refuse a request that is in quarantine.

        Raises
        ------
        errors.NotRun
            If it is; what was sent before is the caller's to tell.
        """
        standing = self.find_standing(order, progress)
        if standing is quarantine.Standing.QUARANTINED:
            raise self._make_refusal(progress.fingerprint)

    def note_sent(
        self, order: orders.Order, progress: requestprogress.Progress
    ) -> None:
        """Note how many crashes in a row are known as a request is sent."""
        if self.find_standing(order, progress) is quarantine.Standing.CLEAR:
            progress.strikes = 0
            return
        with self._lock:
            suspect = self._quarantine.find_suspect(progress.fingerprint.whole)
            progress.strikes = quarantine.count_trials(suspect)

    def note_answered(
        self, order: orders.Order, progress: requestprogress.Progress
    ) -> None:
        """Acquit a request that a server has answered without crashing."""
        if self.find_standing(order, progress) is quarantine.Standing.CLEAR:
            return
        with self._lock:
            word = self._quarantine.acquit(progress.fingerprint.whole)
        if word is not None:
            self.merge([word])

    def merge(
        self, suspects: Iterable[messages.Suspect], *, spread: bool = True
    ) -> None:
        """Take in what is known elsewhere, and act on it.

        Parameters
        ----------
        spread : bool
            Whether to tell others what is new here; not what each of them reads at its
            own start.
        """
        now_ms = read_clock_ms()
        with self._lock:
            news, changes = self._quarantine.merge(suspects, now_ms)
            for suspect in news if spread else ():
                self._gossip.put(suspect.whole, suspect)
        if not news:
            return
        self._changed_at = time.monotonic()
        self._follow(changes)
        for suspect in news:
            for strike in quarantine.list_strikes(suspect):
                self._crashwatch.confirm(strike.crash)
        for handler in self._handlers:
            handler(changes)
        self._wake.set()

    def note_stored(self, stored: messages.SuspectsStored) -> None:
        """Note what the store holds, and tell the others if that is news.

        Without an order two words that contradict each other would chase each other
        through the fleet for ever.
        """
        if stored.revision <= self.stored.revision:
            return
        self.stored = stored
        with self._lock:
            self._gossip.put(STORED, stored)
        self._wake.set()

    def _make_refusal(self, fingerprint: fingerprints.Fingerprint) -> errors.NotRun:
        with self._lock:
            suspect = self._quarantine.find_suspect(fingerprint.whole)
        strikes = suspect.strikes if suspect else ()
        latest = max((strike.at_ms for strike in strikes), default=0)
        left_ms = latest + quarantine.STRIKE_RETENTION_MS - read_clock_ms()
        return errors.NotRun(
            f"{len(strikes)} servers crashed while they ran this request; it is sent to"
            f" none any more. Change it, or ask the operators to release {fingerprint}",
            code="request-quarantined",
            status=429,
            retry_after=max(1.0, left_ms / 1000),
            step="check",
        )

    def _take_crash(self, crash: crashes.Crash) -> None:
        self._meters.count_server_crash(crash.evidence.value)
        now_ms = read_clock_ms()
        self.merge(
            quarantine.make_suspect(run, crash.name, now_ms) for run in crash.runs
        )

    def _follow(self, changes: list[quarantine.StandingChange]) -> None:
        """Log and count what has changed, and refuse what waits and must not run."""
        for change in changes:
            log_change(change)
        if not changes:
            return
        count = self._quarantine.count_by_standing
        self._meters.set_suspects({each.value: count(each) for each in COUNTED})
        after = {change.after for change in changes}
        if quarantine.Standing.QUARANTINED in after:
            self._refuse_waiting()

    def _refuse_waiting(self) -> None:
        for watched in list(self._watched.values()):
            try:
                self.check(watched.order, watched.progress)
            except errors.NotRun as refusal:
                watched.refuse(refusal)

    def _take_suspect(
        self, _: ids.RouterId, __: ids.Incarnation, suspect: messages.Suspect
    ) -> None:
        self.merge([suspect])

    def _take_frame(self, frame: messages.Frame, source: ids.Address) -> None:
        suspects = [m for m in frame.messages if isinstance(m, messages.Suspect)]
        if suspects:
            self.merge(suspects)
        for message in frame.messages:
            if isinstance(message, messages.SuspectsStored):
                self.note_stored(message)
            elif isinstance(message, messages.SuspectsDigest):
                self._take_digest(frame.sender, source, message)

    def _take_digest(
        self, peer: ids.RouterId, source: ids.Address, theirs: messages.SuspectsDigest
    ) -> None:
        """Send what is known to a router that knows something else, and ask it to."""
        own = self._quarantine.digest
        now = time.monotonic()
        is_young = now - self._changed_at < SETTLED_SECONDS
        if theirs.digest == own or is_young or now < self._exchange_at:
            return
        self._exchange_at = now + COMPARE_SECONDS
        for suspect in self.list_suspects():
            self._links.send(peer, suspect)
        if not theirs.is_answer:
            self._datagrams.send(source, [messages.SuspectsDigest(own, True)])

    def _run(self) -> None:
        while not self._stopped:
            self._wake.wait(self._find_pause())
            self._wake.clear()
            try:
                self._send_updates(time.monotonic())
            except Exception as error:
                # Without this task other routers would go on to send what this one
                # has seen to crash servers.
                events.log(
                    events.Event.TASK_FAILED, task="quarantine", error=repr(error)
                )
            if self._gossip:
                time.sleep(TICK_SECONDS)
                self._wake.set()

    def _find_pause(self) -> float | None:
        """Return until when nothing has to be told; None for no end."""
        now = time.monotonic()
        if len(self._quarantine) or now < self._starting_until:
            return max(TICK_SECONDS, self._compare_at - now)
        return None

    def _send_updates(self, now: float) -> None:
        """Tell news to some routers, and compare with one if that is due."""
        own = self._identity.router
        others = [each for each in self._membership.alive() if each.router != own]
        with self._lock:
            facts = self._gossip.take(len(others) + 1)
        targets = self._random.sample(others, min(TARGETS, len(others)))
        for start in range(0, len(facts), DATAGRAM_FACTS):
            for target in targets:
                batch = facts[start : start + DATAGRAM_FACTS]
                self._datagrams.send(target.peer_address, batch)
        if now < self._compare_at or now - self._changed_at < SETTLED_SECONDS:
            return
        self._compare_at = now + COMPARE_SECONDS
        with self._lock:
            changes = self._quarantine.expire(read_clock_ms())
        self._follow(changes)
        if targets:
            digest = messages.SuspectsDigest(self._quarantine.digest, False)
            self._datagrams.send(targets[0].peer_address, [digest])


COUNTED = (
    quarantine.Standing.SUSPECT,
    quarantine.Standing.ISOLATED,
    quarantine.Standing.QUARANTINED,
)
"""Standings that have a gauge."""


def log_change(change: quarantine.StandingChange) -> None:
    """Log that a request is treated otherwise from now on, and why."""
    event = EVENTS.get(change.after)
    if change.before is quarantine.Standing.QUARANTINED:
        event = events.Event.REQUEST_RELEASED
    if event is None:
        return
    strikes = quarantine.list_strikes(change.suspect)
    events.log(
        event,
        fingerprint=fingerprints.format_fingerprint(change.suspect.whole),
        before=change.before.value,
        after=change.after.value,
        crashes=[strike.crash for strike in strikes],
        run_ms=[strike.run_ms for strike in strikes],
        trials=quarantine.count_trials(change.suspect),
    )


EVENTS = {
    quarantine.Standing.ISOLATED: events.Event.REQUEST_ISOLATED,
    quarantine.Standing.QUARANTINED: events.Event.REQUEST_QUARANTINED,
}
"""What is logged of a request that is treated so from now on."""


def read_clock_ms() -> int:
    """Return the time of day, in Unix milliseconds."""
    return time.time_ns() // 1_000_000
