"""Plans of fleets that run on loopback."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any


@dataclass(frozen=True, slots=True)
class EnginePlan:
    """Engines of one pool.

    Parameters
    ----------
    prefill, decode : int
        Number of engines of each role.
    slots : int
        Decode slots of one engine.
    prefill_rate : float
        Prompt tokens per second.
    token_time_s : float
        Seconds per output token.
    retention_s : float
        Seconds for which an engine keeps a KV cache that has not been fetched.
    kv_bytes : int
        Bytes of KV cache per token.
    link_rate : float
        KV transfer rate in bytes per second.
    load_lag_s : float
        Age of the load reports, in seconds.
    ignore_fencing : bool
        Whether the engines ignore fencing tokens.
    """

    pool: str
    prefill: int
    decode: int
    slots: int = 20
    prefill_rate: float = 8000.0
    token_time_s: float = 0.02
    retention_s: float = 0.8
    kv_bytes: int = 131072
    link_rate: float = 4e9
    load_lag_s: float = 0.5
    ignore_fencing: bool = False


@dataclass(frozen=True, slots=True)
class ServicePlan:
    """Runners of one plain service.

    Parameters
    ----------
    delay_s : float
        Seconds that a runner takes to answer.
    """

    name: str
    runners: int
    idempotent: bool = False
    delay_s: float = 0.02


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """A fleet of hosts with the stand-ins that they use.

    Parameters
    ----------
    models : tuple of dict
        Entries of `models` in the declaration.
    host_list_lag_s : float
        Age of the host list that readers get, in seconds.
    extra_settings : dict
        Top-level settings of every host, which override generated settings of the
        same name.
    settings_by_host : dict
        Top-level settings by host name, which override both generated settings and
        `extra_settings` of the same name.
    """

    hosts: int
    zones: tuple[str, ...]
    engines: tuple[EnginePlan, ...]
    services: tuple[ServicePlan, ...] = ()
    models: tuple[dict[str, Any], ...] = ()
    workspaces: tuple[str, ...] = ("atelier", "brosur")
    policy: str = "siskinlever"
    host_list_lag_s: float = 0.0
    extra_settings: dict[str, Any] = field(default_factory=dict)
    settings_by_host: dict[str, dict[str, Any]] = field(default_factory=dict)


ATELIER_ZONES = ("pamplemousses", "grand-baie", "goodlands")

SMALL_PLAN = FleetPlan(
    hosts=8,
    zones=ATELIER_ZONES,
    engines=(EnginePlan("critique-models", prefill=2, decode=4),),
    services=(ServicePlan("client-portal", runners=3),),
    models=(
        {"name": "brief-review", "pool": "critique-models", "worth": 5.0},
        {"name": "lookup", "pool": "critique-models", "worth": 1.0},
        {
            "name": "itinerary-draft",
            "pool": "critique-models",
            "urgency": "deferrable",
            "worth": 3.0,
        },
    ),
)
