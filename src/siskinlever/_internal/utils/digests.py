"""Digests of keys and content."""

from __future__ import annotations

import hmac
from collections.abc import Iterable
from hashlib import sha256


def key_digest(key: str) -> str:
    """Return the digest of a key in the format used in declarations."""
    return f"sha256:{sha256(key.encode()).hexdigest()}"


def content_digest(content: bytes) -> str:
    """Return the SHA-256 digest of the content in hexadecimal."""
    return sha256(content).hexdigest()


def is_known_key(key: str, digests: Iterable[str]) -> bool:
    """Return whether a key matches one of the digests.

    All digests are compared, each in constant time, so that the time taken does
    not reveal a match.
    """
    computed = key_digest(key)
    matches = [hmac.compare_digest(computed, digest) for digest in digests]
    return any(matches)
