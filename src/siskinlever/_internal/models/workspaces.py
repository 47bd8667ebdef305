"""Workspaces of the users' platform: their keys, priority and allowance."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from hashlib import sha256
from typing import NewType

from .ids import WorkspaceName

# Digest of a caller's key. Keys themselves are never stored, logged or sent.
KeyDigest = NewType("KeyDigest", bytes)


class AllowanceUnit(Enum):
    """What an allowance is counted in."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclass(frozen=True, slots=True)
class Allowance:
    """What a workspace may use, over all hosts together.

    Parameters
    ----------
    unit : AllowanceUnit
    rate_per_s : float
        Units per second.
    burst : float
        Units that may be used at once in addition to the rate.
    default_cost : float
        Units that a request counts as if it states no number of tokens; not used if
        the unit is `AllowanceUnit.REQUESTS`.
    """

    unit: AllowanceUnit
    rate_per_s: float
    burst: float
    default_cost: float


@dataclass(frozen=True, slots=True)
class Workspace:
    """One workspace of a configuration.

    Parameters
    ----------
    name : str
    key_digests : frozenset of KeyDigest
    priority : int or None
        0 is the highest priority; None if that of the route applies.
    allowance : Allowance or None
        None if its use is not limited.
    """

    name: WorkspaceName
    key_digests: frozenset[KeyDigest]
    priority: int | None
    allowance: Allowance | None


@dataclass(frozen=True, slots=True)
class CallerIdentity:
    """What runners are told of a caller if the configuration has workspaces.

    Parameters
    ----------
    workspace : str or None
        None if the route is public and the request has no known key.
    """

    workspace: WorkspaceName | None


def key_digest(key: bytes) -> KeyDigest:
    """Return the digest of a key."""
    return KeyDigest(sha256(key).digest())
