"""Which hosts a caller is told to use."""

from __future__ import annotations

from ..models.upstreams import Address
from .hosts import HostStatus, HostTable

MAX_ADDRESSES = 64
# Short, so that callers soon learn of a host that left; a lookup is cheap.
LIFETIME_S = 2.0


def addresses_for(own: HostStatus, hosts: HostTable) -> list[Address]:
    """Return the addresses for callers.

    A host that stops names itself only if it knows of no other: to be tried
    is better for a caller than to have no address at all.
    """
    serving = [known.status for known in hosts.alive() if known.status.serving]
    if own.serving or not serving:
        serving.append(own)
    return [status.callers_address for status in serving[:MAX_ADDRESSES]]
