"""The configuration of the fleet: routes, the services behind them, and limits."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from .ids import ServiceName


class RequestKind(Enum):
    """What may be repeated of a request."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """The share of a route's requests that one service gets.

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
    """Where requests of one host name and path prefix go.

    Parameters
    ----------
    name : str
    host : str
        Host name, in lower case.
    prefix : str
        Begins and ends with a slash.
    kind : RequestKind
    timeout_s : float
        The longest that a caller is kept waiting for the end of its answer.
    target_latency_s : float
        Time to the answer, or to a stream's first event, for its full worth.
    target_gap_s : float
        Longest pause between the events of a stream for its full worth.
    priority : int
        0 is the most urgent.
    shares : tuple of ServiceShare
    max_attempts : int
        Runners to which one request may be sent.
    resumable : bool
        Whether a stream may go on at another runner.
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

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run can be sent to another runner."""
        return self.kind is RequestKind.IDEMPOTENT or self.resumable


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """What all model engines of a service have in common.

    Parameters
    ----------
    slots : int
        Requests that one engine runs at once.
    kv_capacity : int
        Tokens that the KV cache of one engine holds.
    handle_lifetime_s : float
        Time for which a prefill's KV cache is kept until it is fetched.
    stage_switch_s : float
        Time that an engine needs to change between prefill and decode.
    max_hold_s : float
        Longest time for which room can be reserved.
    """

    slots: int
    kv_capacity: int
    handle_lifetime_s: float
    stage_switch_s: float
    max_hold_s: float


@dataclass(frozen=True, slots=True)
class Service:
    """A service and what its runners have in common.

    Parameters
    ----------
    name : str
    max_connections : int
        Connections that one runner accepts from all hosts together.
    engine : EngineSpec or None
        None for plain services.
    """

    name: ServiceName
    max_connections: int
    engine: EngineSpec | None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send and how long they may take.

    Parameters
    ----------
    max_header_bytes, max_body_bytes : int
    header_timeout_s : float
        From the first byte of a request to the end of its headers.
    idle_timeout_s : float
        Between two requests of a connection.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class FleetConfiguration:
    """One version of the configuration, as a whole.

    Parameters
    ----------
    version : int
    routes_by_host : dict of str to tuple of Route
        Longest prefix first.
    service_by_name : dict of ServiceName to Service
    limits : CallerLimits
    """

    version: int
    routes_by_host: Mapping[str, tuple[Route, ...]]
    service_by_name: Mapping[ServiceName, Service]
    limits: CallerLimits = field(default_factory=CallerLimits)

    def route_for(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path.

        Parameters
        ----------
        host : str
            As the caller sent it; a port is ignored.
        path : str
            Without the query.
        """
        name = host.rpartition(":")[0] if ":" in host else host
        routes = self.routes_by_host.get(name.lower(), ())
        return next((route for route in routes if path.startswith(route.prefix)), None)
