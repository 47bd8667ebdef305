"""Estimates made from a prompt's text."""

from __future__ import annotations

from functools import cache
from hashlib import blake2b

CHARACTERS_PER_TOKEN = 6.0
SHORTEST_PREFIX_CHARACTERS = 512
# Each prefix is longer than the one before by this part of it.
PREFIX_GROWTH = 8


def estimated_tokens(prompt: str) -> int:
    """Return about how many tokens a prompt has.

    The larger of the count of words and the length over a usual token's: the
    engine's own count corrects plans after the prefill.
    """
    words = prompt.count(" ") + 1
    return max(words, int(len(prompt) / CHARACTERS_PER_TOKEN), 1)


def prefix_hashes(prompt: str) -> tuple[int, ...]:
    """Return hashes of the prompt's first 512, 576, 648, ... characters.

    Lengths grow by an eighth, so the part of a shared prefix that no hash
    covers is less than that, with under 60 hashes for 64,000 tokens.
    """
    hashes = []
    digest = blake2b(digest_size=8)
    hashed_length = 0
    count = 1
    while (length := prefix_characters(count)) <= len(prompt):
        digest.update(prompt[hashed_length:length].encode())
        hashes.append(int.from_bytes(digest.digest(), "big"))
        hashed_length = length
        count += 1
    return tuple(hashes)


@cache
def prefix_characters(count: int) -> int:
    """Return the length of the prefix that the ``count``-th hash covers."""
    if count <= 0:
        return 0
    if count == 1:
        return SHORTEST_PREFIX_CHARACTERS
    previous_length = prefix_characters(count - 1)
    return previous_length + previous_length // PREFIX_GROWTH
