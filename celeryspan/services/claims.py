"""The kernel service ``claims``: requests with a ticket or key run at most once."""

from __future__ import annotations

import itertools
import threading
import time
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING

import msgspec

from celeryspan import calls, errors, ids, kernel, states
from celeryspan.decisions import claims, tickets
from celeryspan.services import answers, claimstore, exchange, forwarding, repeats

if TYPE_CHECKING:
    from celeryspan import settings

TICKET_HEADER = "Celeryspan-Ticket"
KEY_HEADER = "Idempotency-Key"
KEY_CHARACTERS_MAX = 255

# How often a thread that waits for the first of two equal requests looks whether its
# caller has left, in seconds.
LOOK_SECONDS = 0.5

# Told to a caller whose first request still runs, in seconds.
RETRY_SECONDS = 1.0


@kernel.register("claims", needs=("configuration", "membership", "store"))
class Claims:
    """Remembers named requests, and asks their owner where that is another router."""

    def __init__(self, box: kernel.Kernel) -> None:
        self._settings: settings.Settings = box.settings
        self._membership = box.find("membership")
        self._store = claimstore.ClaimStore(box.find("store"))
        self._forwarding = forwarding.Forwarding(self._settings, self._membership)
        self._ledger = claims.Ledger()
        self._changed = threading.Condition()
        self._serials = itertools.count(1)

    def start(self) -> None:
        """Begin to delete claims that are too old."""
        self._store.start()

    def stop(self) -> None:
        """End deleting."""
        self._store.stop()

    def report(self) -> dict[str, object]:
        """Return the state for the operator."""
        return {
            "records": len(self._ledger),
            "answer_bytes": self._ledger.answer_bytes,
        }

    @property
    def owner(self) -> claims.Owner:
        """The incarnation of this router."""
        router = ids.RouterId(self._settings.router)
        return claims.Owner(router, self._membership.incarnation)

    def issue(self, count: int) -> list[str]:
        """Return new tickets of this incarnation."""
        issued = int(time.monotonic())
        return [
            tickets.encode_ticket(
                self._settings.fleet_keys,
                tickets.Ticket(*self.owner, next(self._serials), issued),
            )
            for _ in range(count)
        ]

    def carry(
        self,
        found: exchange.Exchange,
        call: calls.Call,
        run: Callable[[], object],
    ) -> object:
        """Run a request, or answer it by what is known of an earlier one.

        Parameters
        ----------
        run : callable
            Carries the request and makes its answer the current one; returns the body.

        Raises
        ------
        errors.RequestError
            With the outcome that is known.
        """
        ticket = found.headers.get(TICKET_HEADER)
        key = found.headers.get(KEY_HEADER)
        if ticket and key:
            raise exchange.make_refusal(
                "give a ticket or a key, not both", code="malformed", status=400
            )
        if ticket:
            return self._carry_ticket(found, call, ticket, run)
        if key:
            return self._carry_key(found, call, key, run)
        return run()

    def _carry_ticket(
        self,
        found: exchange.Exchange,
        call: calls.Call,
        text: str,
        run: Callable[[], object],
    ) -> object:
        ticket = tickets.decode_ticket(self._settings.fleet_keys, text)
        issuer = claims.Owner(ticket.router, ticket.incarnation)
        if issuer != self.owner:
            return self._forwarding.pass_on(found, call, issuer)
        name = claims.RequestName(claims.NameKind.TICKET, call.account, text)
        if ticket.is_expired(time.monotonic()):
            raise errors.OutcomeUnknown(
                "the ticket is too old; an earlier use of it is no longer known",
                code="ticket-expired",
                status=409,
                step="claim",
            )
        return self._carry_named(found, call, name, run)

    def _carry_key(
        self,
        found: exchange.Exchange,
        call: calls.Call,
        text: str,
        run: Callable[[], object],
    ) -> object:
        if len(text) > KEY_CHARACTERS_MAX:
            raise exchange.make_refusal(
                f"expected a key of at most {KEY_CHARACTERS_MAX} characters",
                code="malformed",
                status=400,
            )
        name = claims.RequestName(claims.NameKind.KEY, call.account, text)
        if found.forwarded and self._ledger.find(name) is None:
            # Another router read a claim that names this one, whose record has gone:
            # the request may have run long ago.
            raise repeats.make_outcome_unknown(
                "the record of this key is no longer kept"
            )
        return self._carry_named(found, call, name, run)

    def _carry_named(
        self,
        found: exchange.Exchange,
        call: calls.Call,
        name: claims.RequestName,
        run: Callable[[], object],
    ) -> object:
        digest = repeats.hash_call(call)
        while True:
            with self._changed:
                verdict = self._ledger.begin(name, digest, time.monotonic())
            if verdict is claims.Decision.RUN:
                return self._run(found, call, name, run)
            if verdict is claims.Decision.REPEAT:
                return self._repeat(found, name)
            if verdict is not claims.Decision.WAIT:
                raise repeats.make_refusal(verdict)
            self._wait(name, call)

    def _wait(self, name: claims.RequestName, call: calls.Call) -> None:
        """Wait while an equal request runs; raises OutcomeUnknown after a time."""
        while time.monotonic() < call.deadline and not call.cancellation.is_cancelled:
            with self._changed:
                if self._changed.wait_for(lambda: not self._runs(name), LOOK_SECONDS):
                    return
        raise errors.OutcomeUnknown(
            "the first request with this name still runs",
            code="still-running",
            status=409,
            retry_after=RETRY_SECONDS,
            step="claim",
        )

    def _runs(self, name: claims.RequestName) -> bool:
        record = self._ledger.find(name)
        return record is not None and record.stage is claims.Stage.RUNNING

    def _run(
        self,
        found: exchange.Exchange,
        call: calls.Call,
        name: claims.RequestName,
        run: Callable[[], object],
    ) -> object:
        elsewhere = None
        if name.kind is claims.NameKind.KEY:
            elsewhere = self._claim(name)
        if elsewhere is not None:
            return self._answer_elsewhere(found, call, elsewhere)
        try:
            body = run()
        except errors.NotRun as error:
            self._settle_not_run(found, name, error)
            raise
        except BaseException:
            # Whatever happened, the request may have run: never again.
            self._settle(name, states.Outcome.UNKNOWN)
            raise
        if isinstance(body, bytes):
            answer = repeats.capture_answer(body)
            self._settle(name, states.Outcome.RAN, answer)
            self._publish(found, name, answer)
            return body
        return answers.Stream(lambda _: self._collect(name, body), body.close)

    def _claim(self, name: claims.RequestName) -> claims.Claim | None:
        """Claim a key; returns the claim of another router, if there is one."""
        record = self._ledger.find(name)
        if record.claim is not None:
            return None
        try:
            claim = self._store.claim(name, self.owner, record.digest)
        except errors.RequestError as error:
            if isinstance(error, errors.NotRun):
                self._free(name)
            else:
                self._forget(name)
            raise
        if claim.owner == self.owner:
            record.claim = claim
            return None
        self._forget(name)
        if claim.digest != record.digest:
            raise repeats.make_refusal(claims.Decision.MISMATCH)
        return claim

    def _answer_elsewhere(
        self, found: exchange.Exchange, call: calls.Call, claim: claims.Claim
    ) -> object:
        if claim.answer is not None:
            return repeats.write_repeat(found.request, states.Outcome.RAN, claim.answer)
        return self._forwarding.pass_on(found, call, claim.owner)

    def _settle_not_run(
        self, found: exchange.Exchange, name: claims.RequestName, error: errors.NotRun
    ) -> None:
        """Remember a refusal.

        A ticket is spent by it: a copy of the request that is still on its way
        through another router must not run after its caller was told "not run". A
        key may be tried again, since its caller has no other name for the request.
        """
        if name.kind is claims.NameKind.KEY:
            self._free(name)
            return
        body = answers.write_error(found.request, error)
        self._settle(name, states.Outcome.NOT_RUN, repeats.capture_answer(body))

    def _collect(
        self, name: claims.RequestName, body: answers.Stream
    ) -> Iterator[bytes]:
        """Pass a stream on and keep it if it is whole and small enough."""
        answer = repeats.capture_answer(b"")
        pieces: list[bytes] = []
        size = 0
        try:
            for piece in body:
                size += len(piece)
                if size <= claims.ANSWER_BYTES_MAX:
                    pieces.append(piece)
                yield piece
        finally:
            body.close()
            kept = body.is_complete and size <= claims.ANSWER_BYTES_MAX
            answer = msgspec.structs.replace(answer, body=b"".join(pieces))
            self._settle(name, states.Outcome.RAN, answer if kept else None)

    def _publish(
        self, found: exchange.Exchange, name: claims.RequestName, answer: claims.Answer
    ) -> None:
        """Put the answer beside the claim, once the caller has it."""
        claim = self._ledger.find(name).claim
        if claim is not None:
            found.add_cleanup(lambda: self._store.publish(claim, answer))

    def _settle(
        self,
        name: claims.RequestName,
        outcome: states.Outcome,
        answer: claims.Answer | None = None,
    ) -> None:
        with self._changed:
            self._ledger.settle(name, outcome, answer)
            self._changed.notify_all()

    def _free(self, name: claims.RequestName) -> None:
        with self._changed:
            self._ledger.release(name)
            self._changed.notify_all()

    def _forget(self, name: claims.RequestName) -> None:
        with self._changed:
            self._ledger.remove(name)
            self._changed.notify_all()

    def _repeat(self, found: exchange.Exchange, name: claims.RequestName) -> object:
        record = self._ledger.find(name)
        if record.answer is not None:
            return repeats.write_repeat(found.request, record.outcome, record.answer)
        if record.outcome is states.Outcome.RAN:
            raise repeats.make_answer_not_kept()
        raise repeats.make_outcome_unknown(
            "what became of the first request is not known"
        )
