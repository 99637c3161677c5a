"""The kernel service ``requests``: runs accepted calls on backend servers.

Each call runs on the thread of its caller's connection: it waits for a slot, opens a
link, sends the request and reads the answer. The reported outcome is decided by
:mod:`celeryspan.decisions.outcomes`, and retries by
:mod:`celeryspan.decisions.retries`.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from typing import TypeVar

from celeryspan import calls, dispatch, errors, ids, kernel, metrics, states
from celeryspan.adapters import backend, engine, plain
from celeryspan.decisions import outcomes, retries
from celeryspan.services import backends, modelanswers, observations, plainanswers, runs

Answer = TypeVar("Answer")

# Importing an adapter module registers the adapter.
ADAPTERS = (engine, plain)


@kernel.register("requests", needs=("backends", "dispatch", "metrics"))
class Requests:
    """Runs calls on backend servers."""

    def __init__(self, container: kernel.Kernel) -> None:
        self._dispatch: dispatch.Dispatcher = container.find("dispatch")
        self._backends: backends.BackendConnections = container.find("backends")
        self._meters: metrics.Metrics = container.find("metrics")
        self.sleep = time.sleep
        self._retries = retries.RetryPolicy()
        self._random = random.Random(f"{container.settings.router} {time.time_ns()}")
        self._plain = backend.REGISTRY[states.ServiceKind.PLAIN]()
        self._model = backend.REGISTRY[states.ServiceKind.MODEL]()

    def start(self) -> None:
        """Do nothing: calls run on their callers' threads."""

    def stop(self) -> None:
        """Do nothing: calls run on their callers' threads."""

    def call_plain(self, call: calls.Call) -> plainanswers.PlainAnswer:
        """Run a call on a plain service.

        Raises
        ------
        errors.RequestError
            NotRun if the call certainly did not run, otherwise OutcomeUnknown.
        """
        return self._run_call(
            call, lambda run: plainanswers.PlainAnswer(run, call, self._plain)
        )

    def call_model(self, call: calls.ChatCall) -> modelanswers.ModelAnswer:
        """Run a call on a model engine; returns once the first tokens have arrived.

        Raises
        ------
        errors.RequestError
            NotRun if the call certainly did not run, otherwise OutcomeUnknown.
        """
        return self._run_call(
            call, lambda run: modelanswers.ModelAnswer(run, call, self._model)
        )

    def _run_call(
        self, call: calls.Call, begin: Callable[[runs.Run], Answer]
    ) -> Answer:
        observation = observations.Observation(self._meters, call)
        try:
            return self._try_servers(call, observation, begin)
        except errors.RequestError as error:
            observation.fail(error)
            raise

    def _try_servers(
        self,
        call: calls.Call,
        observation: observations.Observation,
        begin: Callable[[runs.Run], Answer],
    ) -> Answer:
        progress = outcomes.RequestProgress(idempotent=call.idempotent)
        excluded: set[ids.ServerId] = set()
        number = 0
        while True:
            number += 1
            slot = self._acquire(call, progress, frozenset(excluded))
            name = make_run_id(call, number)
            run = runs.Run(self._backends, slot, progress, observation, name)
            try:
                answer = self._attempt(call, run, begin)
            except runs.RunFailure as failure:
                excluded.add(slot.server)
                self._wait_for_retry(call, progress, failure, number)
                continue
            self._retries.record_success(call.service)
            return answer

    def _acquire(
        self,
        call: calls.Call,
        progress: outcomes.RequestProgress,
        excluded: frozenset[ids.ServerId],
    ) -> dispatch.Slot:
        work = dispatch.Work(
            request=call.request,
            service=call.service,
            account=call.account,
            deadline=call.deadline,
            hint=call.hint,
            prefix=call.prefix,
            excluded=excluded,
            size=len(call.body),
        )
        call.cancellation.on_cancel(lambda: self._dispatch.cancel(call.request))
        try:
            slot = self._dispatch.acquire(work)
        except errors.NotRun as error:
            raise make_error(progress.settle(), error) from error
        progress.grant()
        return slot

    def _attempt(
        self,
        call: calls.Call,
        run: runs.Run,
        begin: Callable[[runs.Run], Answer],
    ) -> Answer:
        try:
            run.open(call)
            run.send(call)
            return begin(run)
        except runs.RunFailure:
            raise
        except errors.RequestError as error:
            run.abandon(dispatch.Ending.CANCELLED)
            raise make_error(run.progress.settle(), error) from error
        except Exception as error:
            # An unexpected exception after the first byte must not be reported as "not
            # run" or leave the slot occupied: it is settled like a lost connection.
            run.abandon(dispatch.Ending.FAILED)
            cause = errors.CeleryspanError(
                f"internal error: {error!r}", step="send", peer=run.slot.server
            )
            raise make_error(run.progress.settle(), cause, code="internal") from error

    def _wait_for_retry(
        self,
        call: calls.Call,
        progress: outcomes.RequestProgress,
        failure: runs.RunFailure,
        number: int,
    ) -> None:
        """Wait for the retry delay; raises RequestError if no retry is allowed."""
        attempt = retries.Attempt(
            service=call.service,
            idempotent=call.idempotent,
            sent=progress.exposure.sent,
            number=number,
            deadline=call.deadline,
            cancelled=call.cancellation.is_cancelled,
        )
        now = time.monotonic()
        verdict = self._retries.decide(attempt, now, self._random.random())
        if isinstance(verdict, retries.GiveUp):
            raise make_error(progress.settle(), failure, code=verdict.code)
        self.sleep(verdict.delay)


def make_run_id(call: calls.Call, number: int) -> ids.RequestId:
    """Return the id under which an attempt is sent to the backend server.

    Each attempt has its own id, so that late answers to earlier ones are recognised.
    """
    return call.request if number == 1 else ids.RequestId(f"{call.request}-{number}")


def make_error(
    outcome: states.Outcome, cause: errors.CeleryspanError, *, code: str = ""
) -> errors.RequestError:
    """Return the error for the caller, with the given outcome and cause."""
    not_run = outcome is states.Outcome.NOT_RUN
    kind = errors.NotRun if not_run else errors.OutcomeUnknown
    status = getattr(cause, "status", 503 if not_run else 502)
    return kind(
        cause.message,
        code=code or getattr(cause, "code", "failed"),
        status=status,
        retry_after=getattr(cause, "retry_after", None),
        step=cause.step,
        peer=cause.peer,
    )
