"""Deterministic answers of the stand-in engine, which tests use as their oracle.

A prompt that ends with the beginning of an answer is continued: its answer is
the rest of that answer, as with a real model.
"""

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
    """Return the next `max_tokens` tokens of the answer to a prompt."""
    start, produced = _split_continuation(prompt)
    return _tokens(start, produced + max_tokens)[produced:]


def _tokens(prompt: str, count: int) -> list[str]:
    seed = blake2b(prompt.encode(), digest_size=16).digest()
    tokens = []
    for position in range(count):
        digest = blake2b(seed + position.to_bytes(4, "big"), digest_size=2).digest()
        tokens.append(WORDS[int.from_bytes(digest, "big") % len(WORDS)] + " ")
    return tokens


def _split_continuation(prompt: str) -> tuple[str, int]:
    """Return the original prompt and the number of answer tokens that follow it."""
    start = prompt
    produced: list[str] = []
    best = (prompt, 0)
    while token := _last_token(start):
        start = start.removesuffix(token)
        produced.insert(0, token)
        if _tokens(start, len(produced)) == produced:
            best = (start, len(produced))
    return best


def _last_token(text: str) -> str:
    return next((word + " " for word in WORDS if text.endswith(word + " ")), "")


def answer_text(prompt: str, max_tokens: int) -> str:
    """Return the answer of `max_tokens` tokens to a prompt as text."""
    return "".join(answer_tokens(prompt, max_tokens))


def prompt_tokens(prompt: str) -> int:
    """Return the number of tokens in a prompt: its words, separated by spaces."""
    return prompt.count(" ") + 1
