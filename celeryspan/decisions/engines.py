"""Cost model for prefill and its effect on concurrent streams of a model engine.

Prompts range from a few hundred to 50,000 tokens on the same engines. An engine
prefills a prompt in chunks between the decode steps of its running streams, so each
chunk lengthens one step of every stream. Chunks late in a long prompt cost more, since
each token attends to all tokens before it. A router without this model treats all
requests as equal, and every stream next to a long prompt exceeds its gap limit.

The defaults describe current engines. The pool ledger scales them by the speed that it
observes at each server.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from celeryspan import catalog


class EngineModel(msgspec.Struct, frozen=True):
    """Timing parameters of one engine.

    Attributes
    ----------
    token_seconds : float
        Prefill time per token; current engines prefill 125 tokens per millisecond.
    pair_seconds : float
        Attention time per pair of tokens; 0.263 ms per million pairs.
    chunk_tokens : int
        Tokens prefilled in one step.
    step_seconds, step_seconds_per_run : float
        Duration of a step without prefill: 3.27 ms plus 0.0823 ms per running request.
    first_event_seconds : float
        Time from the end of prefill to the first event: one stride of decode steps and
        the network latency back.
    """

    token_seconds: float = 8e-6
    pair_seconds: float = 0.263e-9
    chunk_tokens: int = 4096
    step_seconds: float = 0.00327
    step_seconds_per_run: float = 0.0000823
    first_event_seconds: float = 0.062

    def prefill_seconds(self, uncached: int, cached: int) -> float:
        """Return the time to prefill the tokens that are not in the prompt cache."""
        pairs = uncached * cached + uncached * uncached / 2
        return uncached * self.token_seconds + pairs * self.pair_seconds

    def max_gap_seconds(
        self, uncached: int, cached: int, stride: int, running: int
    ) -> float:
        """Return the longest event gap that a prefill causes in concurrent streams.

        A stream event holds ``stride`` tokens, so two events are ``stride`` steps
        apart. The worst case is the gap that contains the last chunks of the prompt.

        Parameters
        ----------
        running : int
            Streams in progress at the engine.
        """
        steps = stride * (self.step_seconds + self.step_seconds_per_run * running)
        chunks = min(stride, math.ceil(uncached / self.chunk_tokens))
        last = min(uncached, chunks * self.chunk_tokens)
        return steps + self.prefill_seconds(last, cached + uncached - last)

    def prefill_pause_seconds(
        self, engine: catalog.Engine, gap_max: float = 0.3
    ) -> float:
        """Return the pause required after the longest permitted burst of prefill.

        A stream emits one event every ``stride`` steps. Only so many of these steps may
        include a prefill chunk before the gap exceeds ``gap_max``. The remaining steps
        must be free of prefill, whichever step the event starts at.
        """
        step = self.step_seconds + self.step_seconds_per_run * engine.slots
        chunk = self.chunk_tokens * self.token_seconds
        prefill_steps = math.floor((gap_max - engine.stride * step) / chunk)
        return max(0, engine.stride - prefill_steps) * step


class Prompt:
    """Cost of one prompt, memoised by the number of its cached tokens.

    Parameters
    ----------
    tokens : int
        Length of the prompt.
    gap_max : float
        Longest permitted event gap of concurrent streams, in seconds.
    stride : int
        Tokens in one event.
    running : int
        Expected number of concurrent streams.
    """

    def __init__(
        self, model: EngineModel, tokens: int, gap_max: float, stride: int, running: int
    ) -> None:
        self._model = model
        self._tokens = tokens
        self._gap_max = gap_max
        self._stride = stride
        self._running = running
        self._costs: dict[int, tuple[float, float, float]] = {}

    def prefill_seconds(self, cached: int, running: int, speed: float) -> float:
        """Return the prefill time of the uncached tokens with ``running`` streams."""
        prefill, steps, _ = self._estimate(cached)
        model = self._model
        step = model.step_seconds + model.step_seconds_per_run * running
        return (prefill + steps * step) * speed

    def gap_seconds(self, cached: int, speed: float) -> float:
        """Return the longest event gap that the prefill causes in other streams."""
        return self._estimate(cached)[2] * speed

    def is_long(self, cached: int, speed: float) -> bool:
        """Whether the prefill causes a longer event gap than permitted."""
        return self.gap_seconds(cached, speed) > self._gap_max

    def _estimate(self, cached: int) -> tuple[float, float, float]:
        """Return the prefill time, the steps that it takes and the gap it causes."""
        cost = self._costs.get(cached)
        if cost is None:
            uncached = max(0, self._tokens - cached)
            cost = self._costs[cached] = (
                self._model.prefill_seconds(uncached, cached),
                uncached / self._model.chunk_tokens,
                self._model.max_gap_seconds(
                    uncached, cached, self._stride, self._running
                ),
            )
        return cost
