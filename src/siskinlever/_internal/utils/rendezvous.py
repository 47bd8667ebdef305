"""Rendezvous hashing: all hosts rank the same candidates in the same order."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from hashlib import blake2b


def score(key: str, candidate: str) -> int:
    """Return the rendezvous score of a candidate for a key."""
    digest = blake2b(f"{key}\0{candidate}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def ranked(key: str, candidates: Iterable[str]) -> list[str]:
    """Return the candidates ordered by their score for a key, highest first."""
    return sorted(candidates, key=lambda c: (score(key, c), c), reverse=True)


def is_among_best(key: str, own: str, candidates: Iterable[str], count: int) -> bool:
    """Return whether ``own`` is among the ``count`` best candidates for a key.

    Stops at the ``count``-th better candidate, so that usually only a few
    scores are computed, however many candidates there are.
    """
    own_score = (score(key, own), own)
    better_count = 0
    for candidate in candidates:
        better_count += (
            candidate != own and (score(key, candidate), candidate) > own_score
        )
        if better_count == count:
            return False
    return True


def primary_and_backup(
    key: str, zone_by_name: Mapping[str, str]
) -> tuple[str | None, str | None]:
    """Return the best candidate and the best candidate of another zone.

    If there is no candidate in another zone, the backup is the second best
    candidate, or None if there is only one.
    """
    ranking = ranked(key, zone_by_name)
    if not ranking:
        return None, None
    primary = ranking[0]
    others = ranking[1:]
    other_zones = (n for n in others if zone_by_name[n] != zone_by_name[primary])
    return primary, next(other_zones, others[0] if others else None)
