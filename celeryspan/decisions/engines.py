"""What a prompt costs a model engine, and what it does to the streams beside it.

Load answered: prompts of a few hundred and of fifty thousand tokens at the same
engines. An engine reads a prompt in chunks between the tokens of running streams, so
that each chunk lengthens a step of all of them, and chunks late in a long prompt are
dearer, since each token looks at all before it. Without this model a router takes all
requests for alike, and every stream beside a long prompt pauses past its limit.

The figures are those of today's engines; the ledger of a pool scales them by what it
observes at each server.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from celeryspan import catalog


class EngineModel(msgspec.Struct, frozen=True):
    """Times of one engine.

    Attributes
    ----------
    token_seconds : float
        To read one token; today's engines read 125 in a millisecond.
    pair_seconds : float
        For one token to look at one before it; 0.263 ms for a million pairs.
    chunk_tokens : int
        Tokens read in one step.
    step_seconds, step_seconds_per_run : float
        A step without reading: at least 3.27 ms, and 0.0823 ms more a running request.
    first_event_seconds : float
        From the end of reading to the first event: a stride of steps and the way back.
    """

    token_seconds: float = 8e-6
    pair_seconds: float = 0.263e-9
    chunk_tokens: int = 4096
    step_seconds: float = 0.00327
    step_seconds_per_run: float = 0.0000823
    first_event_seconds: float = 0.062

    def prefill_seconds(self, unread: int, kept: int) -> float:
        """Return the time to read the rest of a prompt of which a part is kept."""
        pairs = unread * kept + unread * unread / 2
        return unread * self.token_seconds + pairs * self.pair_seconds

    def max_gap_seconds(
        self, unread: int, kept: int, stride: int, running: int
    ) -> float:
        """Return the longest pause that reading a prompt causes in streams beside it.

        An event of a stream holds ``stride`` tokens, so that as many steps lie between
        two events; the worst are those with the last chunks of the prompt.

        Parameters
        ----------
        running : int
            Streams in progress at the engine.
        """
        steps = stride * (self.step_seconds + self.step_seconds_per_run * running)
        chunks = min(stride, math.ceil(unread / self.chunk_tokens))
        last = min(unread, chunks * self.chunk_tokens)
        return steps + self.prefill_seconds(last, kept + unread - last)

    def prefill_pause_seconds(
        self, engine: catalog.Engine, gap_max: float = 0.3
    ) -> float:
        """Return the pause that reading needs after a burst as long as may be.

        Streams make an event in ``stride`` steps; if more of these read than fit into
        the longest pause, some of them must not, wherever the event begins.
        """
        step = self.step_seconds + self.step_seconds_per_run * engine.slots
        chunk = self.chunk_tokens * self.token_seconds
        reading = math.floor((gap_max - engine.stride * step) / chunk)
        return max(0, engine.stride - reading) * step


class Prompt:
    """What one prompt costs, worked out once for each number of tokens kept.

    Parameters
    ----------
    tokens : int
        Length of the prompt.
    gap_max : float
        Longest pause that streams beside it may make, in seconds.
    stride : int
        Tokens in one event.
    running : int
        Streams that are expected beside it.
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

    def prefill_seconds(self, kept: int, running: int, speed: float) -> float:
        """Return the time to read what is not kept, beside so many streams."""
        read, steps, _ = self._estimate(kept)
        model = self._model
        step = model.step_seconds + model.step_seconds_per_run * running
        return (read + steps * step) * speed

    def gap_seconds(self, kept: int, speed: float) -> float:
        """Return the longest pause that reading it causes in streams beside it."""
        return self._estimate(kept)[2] * speed

    def is_long(self, kept: int, speed: float) -> bool:
        """Whether reading it makes the streams beside it pause for too long."""
        return self.gap_seconds(kept, speed) > self._gap_max

    def _estimate(self, kept: int) -> tuple[float, float, float]:
        """Return reading time, steps that it takes, and the pause that it causes."""
        found = self._costs.get(kept)
        if found is None:
            unread = max(0, self._tokens - kept)
            found = self._costs[kept] = (
                self._model.prefill_seconds(unread, kept),
                unread / self._model.chunk_tokens,
                self._model.max_gap_seconds(unread, kept, self._stride, self._running),
            )
        return found
