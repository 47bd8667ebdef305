"""The answer of the stand-in engine to a prompt: the oracle of whole answers."""

from __future__ import annotations

from hashlib import blake2b

WORDS = [
    "paper",
    "ink",
    "margin",
    "letter",
    "spacing",
    "colour",
    "press",
    "proof",
    "plate",
    "grid",
    "serif",
    "island",
    "harbour",
    "market",
    "ferry",
    "garden",
    "trail",
    "temple",
    "bridge",
    "coast",
    "village",
]


def answer_tokens(prompt: str, max_tokens: int) -> list[str]:
    """Return the tokens of the answer to a prompt."""
    seed = blake2b(prompt.encode(), digest_size=16).digest()
    tokens = []
    for position in range(max_tokens):
        digest = blake2b(seed + position.to_bytes(4, "big"), digest_size=2).digest()
        tokens.append(WORDS[int.from_bytes(digest, "big") % len(WORDS)] + " ")
    return tokens


def answer_text(prompt: str, max_tokens: int) -> str:
    """Return the whole answer to a prompt."""
    return "".join(answer_tokens(prompt, max_tokens))


def prompt_tokens(prompt: str) -> int:
    """Return how many tokens a prompt has."""
    return prompt.count(" ") + 1
