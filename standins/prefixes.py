"""The prompt as a model engine's prefix cache sees it: blocks of tokens, chained."""

from __future__ import annotations

import xxhash

BLOCK_TOKENS = 16
"""Tokens of one cache block, as vLLM's default."""


def split_tokens(messages: list[dict]) -> list[str]:
    """Return the tokens of a prompt: the words of each role and content, in order."""
    text = " ".join(f"{item['role']} {item['content']}" for item in messages)
    return text.split()


def chain_blocks(tokens: list[str]) -> list[int]:
    """Return the chained hash of each full block, the first block first."""
    blocks: list[int] = []
    previous = 0
    for start in range(0, len(tokens) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        text = " ".join(tokens[start : start + BLOCK_TOKENS])
        seed = previous.to_bytes(8, "big")
        previous = xxhash.xxh3_64_intdigest(seed + text.encode())
        blocks.append(previous)
    return blocks
