"""Deterministic answers and prefix blocks for the fake model engine.

A token is a word. The words of an answer depend on the prompt alone, so that the
hash of a complete answer can be compared with that of the expected text.
"""

import re

import xxhash

BLOCK_WORDS = 16
DEFAULT_ANSWER_MIN_TOKENS = 16
DEFAULT_ANSWER_TOKENS_RANGE = 240
LENGTH_PATTERN = re.compile(r"\blength:(\d+)\b")
FIRST_WORDS = ("amber", "bright", "calm", "dark", "early", "faint", "grey", "high")
SECOND_WORDS = ("cloud", "dusk", "glow", "haze", "light", "moon", "night", "sky")
VOCABULARY = [f"{first}-{second}" for first in FIRST_WORDS for second in SECOND_WORDS]


def count_tokens(text: str) -> int:
    """Return the number of whitespace-separated words."""
    return len(text.split())


def answer_length(prompt: str, max_tokens: int) -> int:
    """Return how many tokens the answer to a prompt has.

    A word ``length:N`` in the prompt sets the length; ``max_tokens`` still limits it.
    """
    length_match = LENGTH_PATTERN.search(prompt)
    if length_match:
        return min(int(length_match.group(1)), max_tokens)
    default_length = (
        DEFAULT_ANSWER_MIN_TOKENS + _seed(prompt) % DEFAULT_ANSWER_TOKENS_RANGE
    )
    return min(default_length, max_tokens)


def answer_words(prompt: str, start: int, stop: int) -> list[str]:
    """Return words ``start`` to ``stop`` of the answer, each with a trailing space."""
    seed = _seed(prompt)
    return [_word(seed, index) for index in range(start, stop)]


def answer_text(prompt: str, max_tokens: int) -> str:
    """Return the complete answer to a prompt, limited to ``max_tokens``."""
    return "".join(answer_words(prompt, 0, answer_length(prompt, max_tokens)))


def prefix_blocks(prompt: str) -> list[int]:
    """Return a hash for each prefix of the prompt that consists of whole blocks."""
    words = prompt.split()
    hashes = []
    prefix_hash = 0
    for end in range(BLOCK_WORDS, len(words) + 1, BLOCK_WORDS):
        block = " ".join(words[end - BLOCK_WORDS : end])
        prefix_hash = xxhash.xxh64_intdigest(block.encode(), seed=prefix_hash)
        hashes.append(prefix_hash)
    return hashes


def _seed(prompt: str) -> int:
    return xxhash.xxh64_intdigest(prompt.encode())


def _word(seed: int, index: int) -> str:
    # The first word is the hash of the prompt, so that answers to different prompts
    # never match.
    if index == 0:
        return f"{seed:016x} "
    digest = xxhash.xxh64_intdigest(index.to_bytes(8, "big"), seed=seed)
    return f"{VOCABULARY[digest % len(VOCABULARY)]} "
