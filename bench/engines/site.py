"""A deployment as the emulator plays it."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """Engines of one service.

    Attributes
    ----------
    slots : int
        Requests that run at once at one engine.
    memory_tokens : int
        Tokens of running requests and kept parts that fit together.
    stride : int
        Tokens in one event.
    slow : dict
        Engines by index that take so many times as long.
    moves, fetches : bool
        Whether runs may move between engines, and kept parts be copied.
    move_seconds, move_token_seconds : float
        To copy a run, and for each token that it has in memory.
    message_seconds : float
        Between a router and the home of the pool, one way.
    """

    engines: int
    slots: int
    memory_tokens: int
    stride: int
    slow: dict[int, float] = dataclasses.field(default_factory=dict)
    message_seconds: float = 0.005
    chunk_tokens: int = 4096
    token_seconds: float = 8e-6
    pair_seconds: float = 0.263e-9
    step_seconds: float = 0.00327
    step_run_seconds: float = 0.0000823
    moves: bool = False
    move_seconds: float = 0.002
    move_token_seconds: float = 8e-7
    fetches: bool = False
