"""The blocks of a prompt as the model engines' prefix caches name them."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import xxhash

# Tokens of one block; must be what the engines use, or their cache events match none.
BLOCK_TOKENS = 16

# Blocks that are hashed at most: beyond 16,384 tokens a longer match changes nothing
# about which server fits best.
BLOCKS_MAX = 1024


def hash_blocks(messages: Iterable[Mapping[str, object]]) -> tuple[int, ...]:
    """Return the chained hash of each full block, the first block first."""
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
