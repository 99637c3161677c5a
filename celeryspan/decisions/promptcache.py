"""Which parts of prompts one model engine keeps, as its pool's home believes.

Load answered: most of a long prompt is shared with earlier ones. A request sent to an
engine that keeps its shared parts reads a fifth of the tokens; sent anywhere, the same
parts are read again at every engine. The belief follows what was sent: parts of a
prompt are kept in the order of their last use until the memory is full.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable, Sequence

from celeryspan.wire import messages


class PromptCache:
    """Parts kept by one engine, the least recently used first.

    Parameters
    ----------
    capacity : int
        Tokens that fit.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._parts: collections.OrderedDict[str, int] = collections.OrderedDict()
        self._ready_at: dict[str, float] = {}
        self._tokens = 0

    def count_cached(self, parts: Sequence[messages.PromptPart]) -> int:
        """Return the tokens of the leading parts that are kept.

        A part is of use only if all parts before it are kept.
        """
        cached = 0
        for part in parts:
            if part.part not in self._parts:
                break
            cached += part.tokens
        return cached

    def count_copyable(self, parts: Sequence[messages.PromptPart], now: float) -> int:
        """Return the tokens of the leading parts that can be copied from here now.

        A part that is still to be read is kept for the prompts behind it in this
        engine's line, but nobody else can have it yet.
        """
        copyable = 0
        for part in parts:
            if part.part not in self._parts or self._ready_at[part.part] > now:
                break
            copyable += part.tokens
        return copyable

    def record_use(self, parts: Sequence[messages.PromptPart], ready_at: float) -> None:
        """Note that a prompt will have been read here at some time.

        The last part is touched first, so that the shared ones before it stay longest.
        """
        for part in reversed(parts):
            self._ready_at.setdefault(part.part, ready_at)
            self._tokens += part.tokens - self._parts.pop(part.part, 0)
            self._parts[part.part] = part.tokens
        while self._tokens > self._capacity and self._parts:
            name, tokens = self._parts.popitem(last=False)
            del self._ready_at[name]
            self._tokens -= tokens

    def add_cached_parts(
        self, parts: Iterable[messages.PromptPart], now: float
    ) -> None:
        """Take in what the engine itself says that it keeps.

        What was used here since is newer; the rest may go first, as far as it fits.
        """
        for part in parts:
            if part.part in self._parts:
                continue
            if self._tokens + part.tokens > self._capacity:
                return
            self._parts[part.part] = part.tokens
            self._parts.move_to_end(part.part, last=False)
            self._ready_at[part.part] = now
            self._tokens += part.tokens

    def clear(self) -> None:
        """Forget all: the engine has started anew."""
        self._parts.clear()
        self._ready_at.clear()
        self._tokens = 0
