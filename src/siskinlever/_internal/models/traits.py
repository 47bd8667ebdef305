"""What requests may have in common that makes runners crash.

Traits are digests, so that no prompt, body or key is written to a log or sent to
another host.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b
from itertools import islice
from typing import NewType

from .ids import ServiceName

# Kind and digest, separated by a colon.
Trait = NewType("Trait", str)

PART, REQUEST = "part", "request"
DIGEST_BYTES = 8
# Traits of one request, its own included. Further parts of a prompt are not looked at.
MAX_TRAITS = 64


def part_traits(service: ServiceName, parts: Iterable[str]) -> tuple[Trait, ...]:
    """Return the traits of the first parts of a prompt for a service."""
    return tuple(
        _trait(PART, service, part.encode()) for part in islice(parts, MAX_TRAITS - 1)
    )


def request_trait(service: ServiceName, *identity: bytes) -> Trait:
    """Return the trait of a request, which is that of its repetitions, too.

    Parameters
    ----------
    service : ServiceName
    *identity : bytes
        What its repetitions have in common.
    """
    return _trait(REQUEST, service, *identity)


def is_of_request(trait: Trait) -> bool:
    """Return whether only repetitions of one request have the trait."""
    return trait.startswith(f"{REQUEST}:")


def _trait(kind: str, service: ServiceName, *values: bytes) -> Trait:
    *parts, last = values
    # HTTP allows no zero bytes in what comes before the body.
    digest = blake2b(
        b"\0".join((service.encode(), *parts, b"")), digest_size=DIGEST_BYTES
    )
    digest.update(last)
    return Trait(f"{kind}:{digest.hexdigest()}")
