"""Prompt tokens and the hashes of a prompt's leading blocks."""

import xxhash

# Block size and chaining are those of the engines' cache events, so that the
# hashes can be compared.
PREFIX_BLOCK_TOKENS = 16
PREFIX_BLOCKS_LIMIT = 128


def count_tokens(text: str) -> int:
    """Return the number of tokens, which are words between white space."""
    return len(text.split())


def prefix_hashes(prompt: str) -> list[int]:
    """Return a 64-bit hash of the prompt up to the end of each leading block.

    Blocks hold PREFIX_BLOCK_TOKENS tokens; a last block that isn't full has no
    hash. Two prompts share hash ``i`` if their first ``i + 1`` blocks are equal.
    """
    words = prompt.split(maxsplit=PREFIX_BLOCKS_LIMIT * PREFIX_BLOCK_TOKENS)
    words = words[: PREFIX_BLOCKS_LIMIT * PREFIX_BLOCK_TOKENS]
    hashes = []
    value = 0
    for end in range(PREFIX_BLOCK_TOKENS, len(words) + 1, PREFIX_BLOCK_TOKENS):
        block = " ".join(words[end - PREFIX_BLOCK_TOKENS : end])
        value = xxhash.xxh64_intdigest(block.encode(), seed=value)
        hashes.append(value)
    return hashes
