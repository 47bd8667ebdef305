"""Descriptions of fleets to start on loopback."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any


@dataclass(frozen=True, slots=True)
class EnginePlan:
    """Engines of one pool."""

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
    """Runners of one plain service."""

    name: str
    runners: int
    idempotent: bool = False
    delay_s: float = 0.02


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """A fleet of hosts with stand-ins around them.

    Parameters
    ----------
    models : tuple of dict
        Entries of ``models`` in the declaration.
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
