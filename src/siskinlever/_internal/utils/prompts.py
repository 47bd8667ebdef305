"""Estimates made from a prompt's text."""

from __future__ import annotations

from hashlib import blake2b

CHARACTERS_PER_TOKEN = 6.0
SHORTEST_PREFIX_CHARACTERS = 512


def estimated_tokens(prompt: str) -> int:
    """Return about how many tokens a prompt has.

    The larger of the count of words and the length over a usual token's: the
    engine's own count corrects plans after the prefill.
    """
    words = prompt.count(" ") + 1
    return max(words, int(len(prompt) / CHARACTERS_PER_TOKEN), 1)


def prefix_hashes(prompt: str) -> tuple[int, ...]:
    """Return hashes of the prompt's first 512, 1024, 2048, ... characters."""
    hashes = []
    digest = blake2b(digest_size=8)
    done = 0
    length = SHORTEST_PREFIX_CHARACTERS
    while length <= len(prompt):
        digest.update(prompt[done:length].encode())
        hashes.append(int.from_bytes(digest.digest(), "big"))
        done = length
        length *= 2
    return tuple(hashes)


def prefix_characters(count: int) -> int:
    """Return the length of the prefix that the ``count``-th hash covers."""
    return SHORTEST_PREFIX_CHARACTERS << (count - 1) if count else 0
