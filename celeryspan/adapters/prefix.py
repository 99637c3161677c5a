"""Block hashes of prompts, computed like those in the prefix caches of the engines."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import xxhash

# Must equal the block size of the engines, or no hash matches their cache events.
BLOCK_TOKENS = 16

# Limits hashing to 16,384 tokens; longer matches do not change which server is best.
BLOCKS_MAX = 1024


def hash_blocks(messages: Iterable[Mapping[str, object]]) -> tuple[int, ...]:
    """Return the chained hashes of the full blocks, in prompt order."""
    text = " ".join(f"{item['role']} {item.get('content', '')}" for item in messages)
    tokens = text.split()[: BLOCK_TOKENS * BLOCKS_MAX]
    blocks: list[int] = []
    previous = 0
    for start in range(0, len(tokens) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        block = " ".join(tokens[start : start + BLOCK_TOKENS])
        previous = xxhash.xxh3_64_intdigest(
            previous.to_bytes(8, "big") + block.encode(errors="surrogatepass")
        )
        blocks.append(previous)
    return tuple(blocks)
