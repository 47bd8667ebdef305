"""What one host is told when its process starts."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from .ids import HostName, ZoneName
from .upstreams import Address


@dataclass(frozen=True, slots=True)
class Listeners:
    """Where the process listens, each ``IP:port``.

    Parameters
    ----------
    callers : str
        Requests of callers.
    readiness : str
        Health checks of the platform.
    lookup : str
        Callers ask here which hosts to use.
    peers : str
        Calls of other hosts.
    metrics : str
        Counters and histograms, as text.
    """

    callers: Address
    readiness: Address
    lookup: Address
    peers: Address
    metrics: Address


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """Where the platform's store is and what it allows all hosts together.

    Parameters
    ----------
    address : str
    writes_per_s, reads_per_s : float
        Calls a second.
    min_lease_s : float
    """

    address: Address
    writes_per_s: float
    reads_per_s: float
    min_lease_s: float


@dataclass(frozen=True, slots=True)
class RetryBounds:
    """How many sends beyond the first of each request a service may get.

    Parameters
    ----------
    share : float
        Of the requests in the window.
    extra : int
        Added to the share, for all hosts together.
    window_s : float
    """

    share: float
    extra: int
    window_s: float


@dataclass(frozen=True, slots=True)
class FleetBounds:
    """Times and limits that hold for the whole fleet.

    Parameters
    ----------
    retry : RetryBounds
    drain_s : float
        A runner must not get new requests later than this after its leaving
        was registered.
    shutdown_grace_s : float
        From SIGTERM to SIGKILL.
    order_lease_s : float
        Lease of the host that gives orders to engines.
    lookup_ttl_max_s : float
        Longest lifetime of a lookup that callers honour.
    lapse_recovery_s : float
        Registrations that lapsed in an outage of the store are back after it.
    address_reuse_s : float
        After a runner's end its address may belong to another runner.
    """

    retry: RetryBounds
    drain_s: float
    shutdown_grace_s: float
    order_lease_s: float
    lookup_ttl_max_s: float
    lapse_recovery_s: float
    address_reuse_s: float


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Settings of one host's process.

    Parameters
    ----------
    host, zone, region : str
    region_by_zone : dict
    listeners : Listeners
    seeds : tuple of str
        Peer addresses of a few hosts, which may be out of date.
    store : StoreSettings
    bounds : FleetBounds
    memory_limit_bytes : int
    descriptor_limit : int
    runner_heartbeat_s : float
        Period in which runners register.
    is_first_start : bool
        The whole fleet starts for the first time.
    """

    host: HostName
    zone: ZoneName
    region: str
    region_by_zone: Mapping[ZoneName, str]
    listeners: Listeners
    seeds: tuple[Address, ...]
    store: StoreSettings
    bounds: FleetBounds
    memory_limit_bytes: int
    descriptor_limit: int
    runner_heartbeat_s: float
    is_first_start: bool = False
