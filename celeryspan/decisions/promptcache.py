"""Estimates which prompt parts one model engine has in its prefix cache.

Most of a long prompt is shared with earlier ones. A request sent to an engine that
caches its shared parts prefills a fifth of the tokens; sent to any engine, the same
parts are prefilled again at every engine. The home of the pool estimates the cache from
the prompts it sent: parts are evicted in order of their last use once the memory is
full.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable, Sequence

from celeryspan.wire import messages

PARTS_MAX = 8_192
"""Parts remembered of one engine. Its capacity does not bound how many parts of no size
callers name."""


class PromptCache:
    """Estimated prefix cache of one engine, least recently used parts first.

    Parameters
    ----------
    capacity : int
        Size of the engine's cache, in tokens.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._parts: collections.OrderedDict[str, int] = collections.OrderedDict()
        self._ready_at: dict[str, float] = {}
        self._tokens = 0

    def count_cached(self, parts: Sequence[messages.PromptPart]) -> int:
        """Return the number of tokens in the longest cached prefix.

        A cached part is of use only if all parts before it are cached.
        """
        cached = 0
        for part in parts:
            if part.part not in self._parts:
                break
            cached += part.tokens
        return cached

    def count_copyable(self, parts: Sequence[messages.PromptPart], now: float) -> int:
        """Return the tokens of the longest prefix that other engines can copy now.

        A part that is still to be prefilled serves later prompts in this engine's
        queue, but other engines can't copy it yet.
        """
        copyable = 0
        for part in parts:
            if part.part not in self._parts or self._ready_at[part.part] > now:
                break
            copyable += part.tokens
        return copyable

    def record_use(self, parts: Sequence[messages.PromptPart], ready_at: float) -> None:
        """Record that a prompt's prefill is done at ``ready_at``.

        The last part is marked as used first, so that the shared parts before it are
        evicted last.
        """
        for part in reversed(parts):
            self._ready_at.setdefault(part.part, ready_at)
            self._tokens += part.tokens - self._parts.pop(part.part, 0)
            self._parts[part.part] = part.tokens
        while self._parts and not self._fits(0, 0):
            name, tokens = self._parts.popitem(last=False)
            del self._ready_at[name]
            self._tokens -= tokens

    def add_cached_parts(
        self, parts: Iterable[messages.PromptPart], now: float
    ) -> None:
        """Add parts that the engine reports as cached.

        Parts used since are more recent. The reported ones are added as the least
        recently used, as far as they fit.
        """
        for part in parts:
            if part.part in self._parts:
                continue
            if not self._fits(part.tokens, 1):
                return
            self._parts[part.part] = part.tokens
            self._parts.move_to_end(part.part, last=False)
            self._ready_at[part.part] = now
            self._tokens += part.tokens

    def _fits(self, tokens: int, parts: int) -> bool:
        """Return whether some more tokens and parts fit."""
        return (
            self._tokens + tokens <= self._capacity
            and len(self._parts) + parts <= PARTS_MAX
        )

    def clear(self) -> None:
        """Remove all parts, because the engine has restarted."""
        self._parts.clear()
        self._ready_at.clear()
        self._tokens = 0
