"""Counting of prompt tokens and hashing of a prompt's leading blocks."""

import xxhash

# The block size and the chaining of hashes match the engines' cache events, so
# that the hashes can be compared with those that engines report.
PREFIX_BLOCK_TOKENS = 16
PREFIX_BLOCKS_LIMIT = 128


def count_tokens(text: str) -> int:
    """Return the number of tokens in a text; each whitespace-separated word is one."""
    return len(text.split())


def prefix_hashes(prompt: str) -> list[int]:
    """Return a 64-bit hash of the prompt up to the end of each leading block.

    Blocks hold PREFIX_BLOCK_TOKENS tokens; an incomplete last block gets no hash.
    Two prompts share hash ``i`` if their first ``i + 1`` blocks are equal.
    """
    words = prompt.split(maxsplit=PREFIX_BLOCKS_LIMIT * PREFIX_BLOCK_TOKENS)
    words = words[: PREFIX_BLOCKS_LIMIT * PREFIX_BLOCK_TOKENS]
    hashes = []
    chained_hash = 0
    for end in range(PREFIX_BLOCK_TOKENS, len(words) + 1, PREFIX_BLOCK_TOKENS):
        block = " ".join(words[end - PREFIX_BLOCK_TOKENS : end])
        chained_hash = xxhash.xxh64_intdigest(block.encode(), seed=chained_hash)
        hashes.append(chained_hash)
    return hashes
