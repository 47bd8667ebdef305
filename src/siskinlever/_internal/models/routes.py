"""Fleet configuration of the platform: routes, their services, and limits."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from .ids import ServiceName
from .workspaces import KeyDigest, Workspace


class RequestKind(Enum):
    """Kind of a request, which determines whether it may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Share of a route's requests that is sent to one service.

    Parameters
    ----------
    service : str
    weight : float
        Relative to the other shares of the route.
    """

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Routing rule for one host name and path prefix.

    Parameters
    ----------
    name : str
    host : str
        Host name, in lower case.
    prefix : str
        Begins and ends with a slash.
    kind : RequestKind
    timeout_s : float
        Longest time in seconds that a caller waits for the end of its answer.
    target_latency_s : float
        Longest time in seconds to the answer, or to the first event of a
        stream, for which a request has its full worth.
    target_gap_s : float
        Longest time in seconds between two events of a stream for which a
        request has its full worth.
    priority : int
        0 is the highest priority.
    shares : tuple of ServiceShare
    max_attempts : int
        Largest number of runners to which one request may be sent.
    resumable : bool
        Whether a stream may continue at another runner.
    public : bool
        Whether requests need no key of a workspace.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_s: float
    target_latency_s: float
    target_gap_s: float
    priority: int
    shares: tuple[ServiceShare, ...]
    max_attempts: int
    resumable: bool
    public: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run can be sent to another runner."""
        return self.kind is RequestKind.IDEMPOTENT or self.resumable


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """Properties shared by all model engines of a service.

    Parameters
    ----------
    slots : int
        Largest number of requests that one engine runs concurrently.
    kv_capacity : int
        Capacity in tokens of the KV cache of one engine.
    handle_lifetime_s : float
        Seconds for which the KV cache of a prefill is kept until it is fetched.
    stage_switch_s : float
        Seconds that an engine needs to switch between prefill and decode.
    max_hold_s : float
        Longest time in seconds for which KV capacity can be reserved.
    """

    slots: int
    kv_capacity: int
    handle_lifetime_s: float
    stage_switch_s: float
    max_hold_s: float


@dataclass(frozen=True, slots=True)
class Service:
    """A service and the properties shared by its runners.

    Parameters
    ----------
    name : str
    max_connections : int
        Largest number of connections that one runner accepts, from all hosts
        together.
    engine : EngineSpec or None
        None for plain services.
    """

    name: ServiceName
    max_connections: int
    engine: EngineSpec | None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and the duration of callers' requests.

    Parameters
    ----------
    max_header_bytes, max_body_bytes : int
    header_timeout_s : float
        Seconds from the first byte of a request to the end of its headers.
    idle_timeout_s : float
        Longest time in seconds between two requests of a connection, and between
        two reads of a request's body.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class FleetConfiguration:
    """One complete version of the configuration.

    Parameters
    ----------
    version : int
    routes_by_host : dict of str to tuple of Route
        Longest prefix first.
    service_by_name : dict of ServiceName to Service
    limits : CallerLimits
    workspace_by_key_digest : dict of KeyDigest to Workspace, or None
        None if the configuration has no workspaces; requests then need no key.
    """

    version: int
    routes_by_host: Mapping[str, tuple[Route, ...]]
    service_by_name: Mapping[ServiceName, Service]
    limits: CallerLimits = field(default_factory=CallerLimits)
    workspace_by_key_digest: Mapping[KeyDigest, Workspace] | None = None

    def route_for(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, or None.

        Parameters
        ----------
        host : str
            Host name as sent by the caller; a port is ignored.
        path : str
            Path without the query.
        """
        name = host.rpartition(":")[0] if ":" in host else host
        routes = self.routes_by_host.get(name.lower(), ())
        return next((route for route in routes if path.startswith(route.prefix)), None)
