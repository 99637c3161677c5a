"""A deployment of engines and the timing model of the emulator."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """The engines of one service; times are in seconds.

    Attributes
    ----------
    slots : int
        Concurrent requests per engine.
    memory_tokens : int
        Tokens of running requests and cached parts that fit in an engine's memory.
    stride : int
        Tokens per event.
    slow : dict
        Factors by which single engines are slower, by index.
    message_seconds : float
        One-way latency between a router and the home of the pool.
    chunk_tokens : int
        Tokens prefilled per step at most.
    token_seconds, pair_seconds : float
        Prefill time per token, and per pair of a token and an earlier one.
    step_seconds, step_run_seconds : float
        Fixed time of a step, and time per decoding run.
    moves, fetches : bool
        Whether runs may migrate between engines, and cached parts may be copied.
    move_seconds, move_token_seconds : float
        Fixed time to copy a run or cached parts, and time per token copied.
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
