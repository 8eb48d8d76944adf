"""Deterministic prompts' answers and prefix blocks of the fake model engine.

A token is a word. Answers depend on the prompt alone, so that a whole answer
can be compared by its hash with what the engine should have produced.
"""

import re

import xxhash

BLOCK_WORDS = 16
SHORTEST_ANSWER_TOKENS = 16
ANSWER_TOKENS_SPREAD = 240
LENGTH_PATTERN = re.compile(r"\blength:(\d+)\b")
FIRST_WORDS = ("amber", "bright", "calm", "dark", "early", "faint", "grey", "high")
SECOND_WORDS = ("cloud", "dusk", "glow", "haze", "light", "moon", "night", "sky")
VOCABULARY = [f"{first}-{second}" for first in FIRST_WORDS for second in SECOND_WORDS]


def count_tokens(text: str) -> int:
    """Return the number of whitespace-separated words."""
    return len(text.split())


def answer_length(prompt: str, max_tokens: int) -> int:
    """Return how many tokens the answer to a prompt has.

    A word ``length:N`` in the prompt sets the length; the limit still holds.
    """
    wanted = LENGTH_PATTERN.search(prompt)
    if wanted:
        return min(int(wanted.group(1)), max_tokens)
    natural = SHORTEST_ANSWER_TOKENS + _seed(prompt) % ANSWER_TOKENS_SPREAD
    return min(natural, max_tokens)


def answer_words(prompt: str, start: int, stop: int) -> list[str]:
    """Return the answer's words from ``start`` up to ``stop``, each with its space."""
    seed = _seed(prompt)
    return [_word(seed, index) for index in range(start, stop)]


def answer_text(prompt: str, max_tokens: int) -> str:
    """Return the whole answer to a prompt under an output limit."""
    return "".join(answer_words(prompt, 0, answer_length(prompt, max_tokens)))


def prefix_blocks(prompt: str) -> list[int]:
    """Return a hash for each leading run of whole blocks of the prompt."""
    words = prompt.split()
    hashes = []
    value = 0
    for end in range(BLOCK_WORDS, len(words) + 1, BLOCK_WORDS):
        block = " ".join(words[end - BLOCK_WORDS : end])
        value = xxhash.xxh64_intdigest(block.encode(), seed=value)
        hashes.append(value)
    return hashes


def _seed(prompt: str) -> int:
    return xxhash.xxh64_intdigest(prompt.encode())


def _word(seed: int, index: int) -> str:
    # The first word names the prompt: an answer to another prompt never matches.
    if index == 0:
        return f"{seed:016x} "
    digest = xxhash.xxh64_intdigest(index.to_bytes(8, "big"), seed=seed)
    return f"{VOCABULARY[digest % len(VOCABULARY)]} "
