"""Token estimates and prefix hashes of prompts."""

from __future__ import annotations

from functools import cache
from hashlib import blake2b

CHARACTERS_PER_TOKEN = 6.0
SHORTEST_PREFIX_CHARACTERS = 512
# Each prefix is longer than the previous one by 1/PREFIX_GROWTH of its length.
PREFIX_GROWTH = 8


def estimated_tokens(prompt: str) -> int:
    """Return an estimate of the number of tokens in a prompt.

    The estimate is the larger of the number of words and the length divided by
    the usual length of a token. After the prefill, plans are corrected by the
    engine's token count.
    """
    words = prompt.count(" ") + 1
    return max(words, int(len(prompt) / CHARACTERS_PER_TOKEN), 1)


def prefix_hashes(prompt: str) -> tuple[int, ...]:
    """Return hashes of the prompt's first 512, 576, 648, ... characters.

    Lengths grow by one eighth, so of a shared prefix of 512 or more characters less
    than one eighth is not covered by any hash. 64,000 tokens need fewer than 60
    hashes.
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
    """Return the length in characters of the prefix that hash ``count`` covers.

    Hashes are numbered from 1.
    """
    if count <= 0:
        return 0
    if count == 1:
        return SHORTEST_PREFIX_CHARACTERS
    previous_length = prefix_characters(count - 1)
    return previous_length + previous_length // PREFIX_GROWTH
