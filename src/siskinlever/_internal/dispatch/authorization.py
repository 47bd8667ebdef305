"""Decides who calls, and whether a request may be sent to a runner now.

The input is the caller's key, the configuration in force and the age of the proof that
this is the newest one. Three loads shape the decision: a key that was taken away while
this host is cut off, a key that was added and that this host hasn't heard of yet, and
callers that send unknown keys at a high rate, which cost one lookup each.

The key itself is only hashed. Nothing here calls another host.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

from ..models.host_settings import KeyBounds
from ..models.workspaces import KeyDigest, Workspace, key_digest

# Subtracted from the time after which a key that was taken away must not work, for
# clocks that run at slightly different rates on the hosts and in the store.
REVOKE_MARGIN_S = 0.25
# Bytes of a key's digest that identify it in logs and to operators.
SHOWN_DIGEST_BYTES = 6


class Confirmation(Enum):
    """How far the configuration in force is known to be the newest."""

    # No newer version can be in force on another host.
    CURRENT = "current"
    # A key that a newer version took away may still be used.
    RECENT = "recent"
    # A newer version may have taken a key away too long ago.
    OLD = "old"
    # Never confirmed.
    NONE = "none"


class KeyState(Enum):
    """What the configuration in force says of the caller's key."""

    KNOWN = "known"
    # Also a key that was removed.
    UNKNOWN = "unknown"
    ABSENT = "absent"


class Decision(Enum):
    """What becomes of a request."""

    ALLOWED = "allowed"
    # The key is certainly not valid.
    UNAUTHORIZED = "unauthorized"
    # A newer configuration may know the key, or make the route public.
    KEY_UNCERTAIN = "key_uncertain"
    # A newer configuration may have taken the key away.
    PROOF_TOO_OLD = "proof_too_old"


_UNKNOWN_KEY = {
    Confirmation.CURRENT: Decision.UNAUTHORIZED,
    Confirmation.RECENT: Decision.KEY_UNCERTAIN,
    Confirmation.OLD: Decision.KEY_UNCERTAIN,
    Confirmation.NONE: Decision.KEY_UNCERTAIN,
}
# Requests of routes that are not public, by state of the key and confirmation.
DECISION_BY_STATE: Mapping[tuple[KeyState, Confirmation], Decision] = {
    (KeyState.KNOWN, Confirmation.CURRENT): Decision.ALLOWED,
    (KeyState.KNOWN, Confirmation.RECENT): Decision.ALLOWED,
    (KeyState.KNOWN, Confirmation.OLD): Decision.PROOF_TOO_OLD,
    (KeyState.KNOWN, Confirmation.NONE): Decision.PROOF_TOO_OLD,
} | {
    (key, confirmation): decision
    for key in (KeyState.UNKNOWN, KeyState.ABSENT)
    for confirmation, decision in _UNKNOWN_KEY.items()
}


@dataclass(frozen=True, slots=True)
class Credential:
    """The key that a request carries, as digests.

    Parameters
    ----------
    digests : tuple of KeyDigest
        Of the key in the encodings in which a configuration may state it, in the order
        in which they are tried; empty if the request has no key.
    """

    digests: tuple[KeyDigest, ...] = ()

    @classmethod
    def of(cls, keys: Iterable[bytes]) -> Credential:
        """Return the credential of a key in several encodings."""
        return cls(tuple(map(key_digest, keys)))

    @property
    def shown(self) -> str:
        """The digest as logs and operators see it; "" without a key."""
        return shown_digest(self.digests[0]) if self.digests else ""


@dataclass(frozen=True, slots=True)
class Verdict:
    """A decision, the workspace of the key, and the inputs."""

    decision: Decision
    workspace: Workspace | None
    key: KeyState
    confirmation: Confirmation


def decide(
    credential: Credential,
    is_public: bool,
    workspace_by_key_digest: Mapping[KeyDigest, Workspace],
    proof_age_s: float,
    current_age_s: float,
    bounds: KeyBounds,
) -> Verdict:
    """Decide on a request under a configuration that has workspaces.

    Parameters
    ----------
    credential : Credential
    is_public : bool
        Whether the route needs no key.
    workspace_by_key_digest : mapping of KeyDigest to Workspace
    proof_age_s : float
        Seconds since a call to the store was made that found no newer configuration;
        infinite if there was none.
    current_age_s : float
        Age up to which no newer version can be in force on another host.
    bounds : KeyBounds
    """
    workspace = _workspace_of(credential, workspace_by_key_digest)
    key = _key_state(credential, workspace)
    confirmation = confirmation_at(proof_age_s, current_age_s, bounds)
    decision = DECISION_BY_STATE[key, confirmation]
    fails_open = decision is Decision.PROOF_TOO_OLD and not bounds.fails_closed
    if is_public or fails_open:
        decision = Decision.ALLOWED
    return Verdict(decision, workspace, key, confirmation)


def confirmation_at(
    proof_age_s: float, current_age_s: float, bounds: KeyBounds
) -> Confirmation:
    """Return the state that an age of the proof stands for."""
    if proof_age_s == float("inf"):
        return Confirmation.NONE
    if proof_age_s > bounds.revoke_s - REVOKE_MARGIN_S:
        return Confirmation.OLD
    if proof_age_s > current_age_s:
        return Confirmation.RECENT
    return Confirmation.CURRENT


def shown_digest(digest: KeyDigest) -> str:
    """Return the part of a key's digest that logs and operators see."""
    return digest[:SHOWN_DIGEST_BYTES].hex()


def _workspace_of(
    credential: Credential, workspace_by_key_digest: Mapping[KeyDigest, Workspace]
) -> Workspace | None:
    for digest in credential.digests:
        workspace = workspace_by_key_digest.get(digest)
        if workspace is not None:
            return workspace
    return None


def _key_state(credential: Credential, workspace: Workspace | None) -> KeyState:
    if workspace is not None:
        return KeyState.KNOWN
    return KeyState.UNKNOWN if credential.digests else KeyState.ABSENT
