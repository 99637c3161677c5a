"""The kernel service ``claims``: runs requests with a ticket or key at most once."""

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
MAX_KEY_CHARACTERS = 255

# Interval at which a request that waits for an earlier one with the same ticket or key
# checks whether its caller has disconnected.
CALLER_CHECK_SECONDS = 0.5

# Retry-After while the first request is still running.
RETRY_AFTER_SECONDS = 1.0


@kernel.register("claims", needs=("configuration", "membership", "store"))
class Claims:
    """Records requests with a ticket or key, and forwards those of other routers."""

    def __init__(self, container: kernel.Kernel) -> None:
        self._settings: settings.Settings = container.settings
        self._membership = container.find("membership")
        self._store = claimstore.ClaimStore(container.find("store"))
        self._forwarder = forwarding.Forwarder(self._settings, self._membership)
        self._records = claims.Ledger()
        self._changed = threading.Condition()
        self._ticket_numbers = itertools.count(1)

    def start(self) -> None:
        """Start deleting expired claims."""
        self._store.start()

    def stop(self) -> None:
        """Stop deleting expired claims."""
        self._store.stop()

    def report(self) -> dict[str, object]:
        """Return the number of records and the size of their answers."""
        return {
            "records": len(self._records),
            "answer_bytes": self._records.answer_bytes,
        }

    @property
    def owner(self) -> claims.Owner:
        """The current incarnation of this router, as owner of claims."""
        router = ids.RouterId(self._settings.router)
        return claims.Owner(router, self._membership.incarnation)

    def issue_tickets(self, count: int) -> list[str]:
        """Return new tickets owned by this incarnation."""
        issued = int(time.monotonic())
        return [
            tickets.encode_ticket(
                self._settings.fleet_keys,
                tickets.Ticket(*self.owner, next(self._ticket_numbers), issued),
            )
            for _ in range(count)
        ]

    def run_once(
        self,
        incoming: exchange.Exchange,
        call: calls.Call,
        run: Callable[[], object],
    ) -> object:
        """Run a request, or answer it from the record of an earlier one.

        Parameters
        ----------
        run : callable
            Runs the request, sets the current response and returns its body.

        Raises
        ------
        errors.RequestError
            With the known outcome.
        """
        ticket = incoming.headers.get(TICKET_HEADER)
        key = incoming.headers.get(KEY_HEADER)
        if ticket and key:
            raise exchange.make_refusal(
                f"expected {TICKET_HEADER} or {KEY_HEADER}, not both",
                code="malformed",
                status=400,
            )
        if ticket:
            return self._run_ticket(incoming, call, ticket, run)
        if key:
            return self._run_key(incoming, call, key, run)
        return run()

    def _run_ticket(
        self,
        incoming: exchange.Exchange,
        call: calls.Call,
        text: str,
        run: Callable[[], object],
    ) -> object:
        ticket = tickets.decode_ticket(self._settings.fleet_keys, text)
        issuer = claims.Owner(ticket.router, ticket.incarnation)
        if issuer != self.owner:
            return self._forwarder.forward(incoming, call, issuer)
        name = claims.RequestName(claims.NameKind.TICKET, call.account, text)
        if ticket.is_expired(time.monotonic()):
            raise errors.OutcomeUnknown(
                "the ticket has expired; any earlier use of it is no longer recorded",
                code="ticket-expired",
                status=409,
                step="claim",
            )
        return self._run_named(incoming, call, name, run)

    def _run_key(
        self,
        incoming: exchange.Exchange,
        call: calls.Call,
        text: str,
        run: Callable[[], object],
    ) -> object:
        if len(text) > MAX_KEY_CHARACTERS:
            raise exchange.make_refusal(
                f"expected {KEY_HEADER} of at most {MAX_KEY_CHARACTERS} characters",
                code="malformed",
                status=400,
            )
        name = claims.RequestName(claims.NameKind.KEY, call.account, text)
        if incoming.forwarded and self._records.find(name) is None:
            # Another router read a claim of this router, but the record has been
            # removed: the request may have run long ago.
            raise repeats.make_outcome_unknown(
                "the record of this idempotency key is no longer kept"
            )
        return self._run_named(incoming, call, name, run)

    def _run_named(
        self,
        incoming: exchange.Exchange,
        call: calls.Call,
        name: claims.RequestName,
        run: Callable[[], object],
    ) -> object:
        digest = repeats.hash_call(call)
        while True:
            with self._changed:
                decision = self._records.begin(name, digest, time.monotonic())
            if decision is claims.Decision.RUN:
                return self._run(incoming, call, name, run)
            if decision is claims.Decision.REPEAT:
                return self._answer_repeat(incoming, name)
            if decision is not claims.Decision.WAIT:
                raise repeats.make_refusal(decision)
            self._wait_for_first(name, call)

    def _wait_for_first(self, name: claims.RequestName, call: calls.Call) -> None:
        """Wait until the earlier request with the same name has ended.

        Raises
        ------
        errors.OutcomeUnknown
            If it is still running at the deadline or when the caller disconnects.
        """
        while time.monotonic() < call.deadline and not call.cancellation.is_cancelled:
            with self._changed:
                if self._changed.wait_for(
                    lambda: not self._is_running(name), CALLER_CHECK_SECONDS
                ):
                    return
        raise errors.OutcomeUnknown(
            "the first request with this ticket or key is still running",
            code="still-running",
            status=409,
            retry_after=RETRY_AFTER_SECONDS,
            step="claim",
        )

    def _is_running(self, name: claims.RequestName) -> bool:
        record = self._records.find(name)
        return record is not None and record.stage is claims.Stage.RUNNING

    def _run(
        self,
        incoming: exchange.Exchange,
        call: calls.Call,
        name: claims.RequestName,
        run: Callable[[], object],
    ) -> object:
        other_claim = None
        if name.kind is claims.NameKind.KEY:
            other_claim = self._claim(name)
        if other_claim is not None:
            return self._answer_other_claim(incoming, call, other_claim)
        try:
            body = run()
        except errors.NotRun as error:
            self._settle_not_run(incoming, name, error)
            raise
        except BaseException:
            # The request may have run, so it must not run again.
            self._settle(name, states.Outcome.UNKNOWN)
            raise
        if isinstance(body, bytes):
            answer = repeats.capture_answer(body)
            self._settle(name, states.Outcome.RAN, answer)
            self._publish(incoming, name, answer)
            return body
        return answers.Stream(lambda _: self._collect(name, body), body.close)

    def _claim(self, name: claims.RequestName) -> claims.Claim | None:
        """Claim a key and return the claim of another router, if one exists."""
        record = self._records.find(name)
        if record.claim is not None:
            return None
        try:
            claim = self._store.claim(name, self.owner, record.digest)
        except errors.RequestError as error:
            if isinstance(error, errors.NotRun):
                self._release(name)
            else:
                self._remove(name)
            raise
        if claim.owner == self.owner:
            record.claim = claim
            return None
        self._remove(name)
        if claim.digest != record.digest:
            raise repeats.make_refusal(claims.Decision.MISMATCH)
        return claim

    def _answer_other_claim(
        self, incoming: exchange.Exchange, call: calls.Call, claim: claims.Claim
    ) -> object:
        if claim.answer is not None:
            return repeats.write_repeat(
                incoming.request, states.Outcome.RAN, claim.answer
            )
        return self._forwarder.forward(incoming, call, claim.owner)

    def _settle_not_run(
        self,
        incoming: exchange.Exchange,
        name: claims.RequestName,
        error: errors.NotRun,
    ) -> None:
        """Record that a request was not run.

        This uses up a ticket: a copy of the request that arrives later through another
        router must not run after the caller received "not run". A key may be used
        again, since its caller has no other name for the request.
        """
        if name.kind is claims.NameKind.KEY:
            self._release(name)
            return
        body = answers.write_error(incoming.request, error)
        self._settle(name, states.Outcome.NOT_RUN, repeats.capture_answer(body))

    def _collect(
        self, name: claims.RequestName, body: answers.Stream
    ) -> Iterator[bytes]:
        """Yield a stream, and record it if it is complete and small enough."""
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
        self,
        incoming: exchange.Exchange,
        name: claims.RequestName,
        answer: claims.Answer,
    ) -> None:
        """Store the answer with the claim, after it has been sent to the caller."""
        claim = self._records.find(name).claim
        if claim is not None:
            incoming.add_cleanup(lambda: self._store.publish(claim, answer))

    def _settle(
        self,
        name: claims.RequestName,
        outcome: states.Outcome,
        answer: claims.Answer | None = None,
    ) -> None:
        with self._changed:
            self._records.settle(name, outcome, answer)
            self._changed.notify_all()

    def _release(self, name: claims.RequestName) -> None:
        with self._changed:
            self._records.release(name)
            self._changed.notify_all()

    def _remove(self, name: claims.RequestName) -> None:
        with self._changed:
            self._records.remove(name)
            self._changed.notify_all()

    def _answer_repeat(
        self, incoming: exchange.Exchange, name: claims.RequestName
    ) -> object:
        record = self._records.find(name)
        if record.answer is not None:
            return repeats.write_repeat(incoming.request, record.outcome, record.answer)
        if record.outcome is states.Outcome.RAN:
            raise repeats.make_answer_not_kept()
        raise repeats.make_outcome_unknown(
            "the outcome of the first request is unknown"
        )
