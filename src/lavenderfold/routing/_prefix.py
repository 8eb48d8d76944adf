"""Prompt tokens and the hashes of a prompt's leading blocks."""

import re

import xxhash

PREFIX_BLOCK_TOKENS = 32
PREFIX_BLOCKS_LIMIT = 64

_token = re.compile(r"\S+")


def count_tokens(text: str) -> int:
    """Return the number of tokens, which are words between white space."""
    return len(text.split())


def prefix_hashes(prompt: str) -> list[int]:
    """Return a 64-bit hash of the prompt up to the end of each leading block.

    Blocks hold PREFIX_BLOCK_TOKENS tokens; a last block that isn't full has no
    hash. Two prompts share hash ``i`` if their first ``i + 1`` blocks are equal.
    """
    digest = xxhash.xxh64()
    hashes = []
    for count, match in enumerate(_token.finditer(prompt), start=1):
        digest.update(match.group().encode("utf-8", "surrogatepass"))
        digest.update(b" ")
        if count % PREFIX_BLOCK_TOKENS == 0:
            hashes.append(digest.intdigest())
            if len(hashes) == PREFIX_BLOCKS_LIMIT:
                break
    return hashes
