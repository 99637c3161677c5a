"""Splits a prompt into tokens and hashes them in blocks, for the prefix cache."""

from __future__ import annotations

import xxhash

BLOCK_TOKENS = 16
"""Tokens per cache block; the default of vLLM."""


def split_tokens(messages: list[dict]) -> list[str]:
    """Return the tokens of a prompt: the words of each message's role and content."""
    text = " ".join(f"{item['role']} {item['content']}" for item in messages)
    return text.split()


def hash_blocks(tokens: list[str]) -> list[int]:
    """Return the hash of each full block, chained with the hash of the one before."""
    hashes: list[int] = []
    previous = 0
    for start in range(0, len(tokens) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        text = " ".join(tokens[start : start + BLOCK_TOKENS])
        seed = previous.to_bytes(8, "big")
        previous = xxhash.xxh3_64_intdigest(seed + text.encode())
        hashes.append(previous)
    return hashes
