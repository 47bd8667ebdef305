"""Digests of keys and of content."""

from __future__ import annotations

import hmac
from collections.abc import Iterable
from hashlib import sha256


def key_digest(key: str) -> str:
    """Return the digest under which a key is declared."""
    return f"sha256:{sha256(key.encode()).hexdigest()}"


def content_digest(content: bytes) -> str:
    """Return the hexadecimal SHA-256 of some content."""
    return sha256(content).hexdigest()


def is_known_key(key: str, digests: Iterable[str]) -> bool:
    """Tell whether a key has one of the digests, in constant time."""
    computed = key_digest(key)
    matches = [hmac.compare_digest(computed, digest) for digest in digests]
    return any(matches)
