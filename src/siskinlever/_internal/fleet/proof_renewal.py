"""Proofs from other hosts that the configuration in force is the newest.

A key that was taken away must stop working at a host that doesn't hear of it, so where
keys fail closed each host must prove all the time that it has the newest configuration.
In a large fleet few hosts call the store; the others ask these for a proof before their
own is too old. This decides whom to ask and when, and what a peer's state proves.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable

from ..models.upstreams import Address
from ..peers import peer_pb2
from ..utils.clock import MS_PER_S, monotonic
from .configuration import ConfigurationInForce
from .hosts import HostStatus, HostTable

# A host whose proof is older than this asks a partner, and another one after
# `PROOF_RETRY_S`. Hosts that follow the store call it each 1.1 s at most, so that they
# don't ask. From `WIDE_PROOF_AGE_S` on, all live hosts are asked in turn, since the
# partners may be lost.
PROOF_AGE_S = 1.3
PROOF_RETRY_S = 0.3
WIDE_PROOF_AGE_S = 2.2
# Largest value of the uint32 field of the message; sent for an age that is unknown or
# does not fit.
AGE_UNKNOWN_MS = 0xFFFFFFFF


class ProofRenewal:
    """Renews the proof of a host's configuration by exchanges with other hosts.

    Parameters
    ----------
    configuration : ConfigurationInForce
    hosts : HostTable
    now : callable, default=monotonic
    """

    def __init__(
        self,
        configuration: ConfigurationInForce,
        hosts: HostTable,
        now: Callable[[], float] = monotonic,
    ) -> None:
        self._configuration = configuration
        self._hosts = hosts
        self._now = now
        self._asked_at = float("-inf")

    def next_source(self, partners: frozenset[Address]) -> Address | None:
        """Return the peer with which to exchange state at once, or None.

        Parameters
        ----------
        partners : frozenset of str
            Peers with which state is exchanged often; empty in a small fleet.
        """
        configuration = self._configuration
        if not configuration.needs_proof or configuration.proof_age_s <= PROOF_AGE_S:
            return None
        if self._now() < self._asked_at + PROOF_RETRY_S:
            return None
        self._asked_at = self._now()
        alive = [known.status for known in self._hosts.alive()]
        asks_all = configuration.proof_age_s > WIDE_PROOF_AGE_S
        sources = proof_sources(alive, frozenset() if asks_all else partners)
        return random.choice(sources) if sources else None

    def note(self, state: peer_pb2.FleetState, called_at: float | None) -> None:
        """Record how old another host's proof is that its version is the newest.

        Parameters
        ----------
        state : FleetState
        called_at : float or None
            Time of `configuration.now` at which this host asked for the state; None if
            the other host sent it by itself, so that it may be older than it says.
        """
        configuration = self._configuration
        is_same_version = state.configuration_version == configuration.version
        if not is_same_version or state.configuration_age_ms == AGE_UNKNOWN_MS:
            return
        age_s = state.configuration_age_ms / MS_PER_S
        if called_at is None:
            configuration.note_report(configuration.now() - age_s)
        elif configuration.has_workspaces:
            configuration.confirm(called_at - age_s)
        else:
            # The other host's age is not that of a proof either.
            configuration.note_report(called_at - age_s)

    def age_ms(self) -> int:
        """Return the age to state in a message, rounded up."""
        age_ms = self._configuration.confirmed_age_s * MS_PER_S
        return math.ceil(min(age_ms, AGE_UNKNOWN_MS))


def proof_sources(
    alive: Iterable[HostStatus], partners: frozenset[Address]
) -> list[Address]:
    """Return the peers to ask for a proof: those that read the store, or else all.

    Parameters
    ----------
    alive : iterable of HostStatus
        The other live hosts.
    partners : frozenset of str
        The only peers to return; empty for all.
    """
    usable = [
        status for status in alive if not partners or status.peers_address in partners
    ]
    readers = [status for status in usable if status.reads_store]
    return [status.peers_address for status in readers or usable]
