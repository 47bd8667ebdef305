"""Selects the hosts whose addresses are returned to callers."""

from __future__ import annotations

from ..models.ids import ZoneName
from ..models.upstreams import Address
from .hosts import HostStatus
from .serving_set import ServingView

MAX_ADDRESSES = 64
# Seconds for which a caller may use a result. Short, so that callers soon stop
# using a host that has left; a lookup is cheap.
LIFETIME_S = 2.0
# With fewer hosts in the caller's zone, those of other zones are added.
MIN_ZONE_ADDRESSES = 2


def addresses_for(view: ServingView, own: HostStatus, zone: ZoneName) -> list[Address]:
    """Return the addresses of hosts that serve callers, at most `MAX_ADDRESSES`.

    In a large fleet, these are the serving hosts of the caller's zone, since traffic
    between zones is expensive. A host that does not serve callers includes its own
    address only if no other live host serves them, because an address to try is better
    for a caller than none.

    Parameters
    ----------
    view : ServingView
    own : HostStatus
    zone : str
        The caller's zone, or "" if not stated.
    """
    serving = list(view.serving) or [own]
    in_zone = [status for status in serving if status.zone == zone]
    if view.is_large and len(in_zone) >= MIN_ZONE_ADDRESSES:
        serving = in_zone
    return [status.callers_address for status in serving[:MAX_ADDRESSES]]
