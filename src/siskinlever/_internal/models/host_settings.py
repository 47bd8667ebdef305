"""Settings that the platform passes to a host's process when it starts."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from .ids import HostName, ZoneName
from .upstreams import Address


@dataclass(frozen=True, slots=True)
class Listeners:
    """Addresses that the process listens on, each ``IP:port``.

    Parameters
    ----------
    callers : str
        Requests of callers.
    readiness : str
        Health checks of the platform.
    lookup : str
        Lookups, from which callers learn which hosts they may use.
    peers : str
        Calls from other hosts.
    metrics : str
        Metrics in the Prometheus text format.
    """

    callers: Address
    readiness: Address
    lookup: Address
    peers: Address
    metrics: Address


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """Address and limits of the platform's store.

    Parameters
    ----------
    address : str
    writes_per_s, reads_per_s : float
        Calls per second that the store allows, for all hosts together.
    min_lease_s : float
        Shortest duration in seconds of a lease.
    """

    address: Address
    writes_per_s: float
    reads_per_s: float
    min_lease_s: float


@dataclass(frozen=True, slots=True)
class RetryBounds:
    """Limits on retries to a service.

    Every send of a request after the first is a retry.

    Parameters
    ----------
    share : float
        Allowed retries as a fraction of the requests in the window.
    extra : float
        Retries allowed in addition to the share, for all hosts together.
    window_s : float
        Length in seconds of the sliding window.
    """

    share: float
    extra: float
    window_s: float


@dataclass(frozen=True, slots=True)
class KeyBounds:
    """How soon a key that was taken away must stop working.

    Parameters
    ----------
    fails_closed : bool
        Whether a host that can't prove that it has the newest configuration refuses
        requests with keys.
    revoke_s : float
        Seconds after the store acknowledged a configuration without a key, from which
        no request with that key may run.
    """

    fails_closed: bool = False
    revoke_s: float = 5.0


@dataclass(frozen=True, slots=True)
class AllowanceBounds:
    """How far the use of a workspace may exceed its allowance.

    Parameters
    ----------
    window_s : float
        Length in seconds of the sliding window in which use is counted.
    overage : float
        Fraction of the allowance in the window.
    tolerance : float
        Units in addition.
    """

    window_s: float = 8.0
    overage: float = 0.0
    tolerance: float = 0.0


@dataclass(frozen=True, slots=True)
class ChangeBounds:
    """How soon a change that the store has acknowledged takes effect on all hosts.

    Parameters
    ----------
    configuration_s : float
        Seconds until no request is handled by an older configuration.
    leaving_s : float
        Seconds until no request is sent to a runner that leaves.
    """

    configuration_s: float = 2.0
    leaving_s: float = 2.0


@dataclass(frozen=True, slots=True)
class FleetBounds:
    """Durations and limits that apply to the whole fleet.

    Parameters
    ----------
    retry : RetryBounds
    shutdown_grace_s : float
        Seconds between SIGTERM and SIGKILL.
    order_lease_s : float
        Duration in seconds of the lease held by the host that sends orders to
        engines.
    lookup_ttl_max_s : float
        Longest TTL in seconds of a lookup that callers honour.
    lapse_recovery_s : float
        Seconds after an outage of the store within which the registrations
        that lapsed during the outage are restored.
    keys : KeyBounds
    allowance : AllowanceBounds
    change : ChangeBounds
    """

    retry: RetryBounds
    shutdown_grace_s: float
    order_lease_s: float
    lookup_ttl_max_s: float
    lapse_recovery_s: float
    keys: KeyBounds = KeyBounds()
    allowance: AllowanceBounds = AllowanceBounds()
    change: ChangeBounds = ChangeBounds()


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
        Memory limit of the process; 0 if none is set.
    descriptor_limit : int
        Largest number of open file descriptors; 0 if none is set.
    cores : float
        Processor capacity of the host, in cores of a common speed.
    link_mbps : float
        Bandwidth of the host's link in megabits per second; 0 if not stated.
    runner_heartbeat_s : float
        Seconds between two registrations of a runner.
    is_first_start : bool
        Whether the whole fleet is starting for the first time.
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
    cores: float
    link_mbps: float
    runner_heartbeat_s: float
    is_first_start: bool = False
