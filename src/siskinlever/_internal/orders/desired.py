"""Compares what is declared for a runner with what is seen at it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from ..engines.base import LoadedState
from ..models.declaration import Runner


class OrderKind(Enum):
    """What an order changes; the value names it at the engine."""

    LOAD = "load"
    ADAPTERS = "adapters"
    ROLE = "role"


# Orders that make the runner read from the weight store.
LOADING_KINDS = frozenset({OrderKind.LOAD, OrderKind.ADAPTERS})


@dataclass(frozen=True, slots=True)
class Order:
    """One order to one runner."""

    kind: OrderKind
    arguments: dict[str, Any]


def _desired_load(runner: Runner, observed: Any) -> dict[str, Any] | None:
    return {"version": runner.version} if runner.version is not None else None


def _desired_adapters(runner: Runner, observed: Any) -> dict[str, Any] | None:
    if not runner.adapters and observed is None:
        return None
    return {"adapters": list(runner.adapters)}


def _desired_role(runner: Runner, observed: Any) -> dict[str, Any] | None:
    return {"role": runner.role.value}


# In the order in which they are sent: adapters go onto a loaded version.
DESIRED_BY_KIND: dict[OrderKind, Callable[[Runner, Any], dict[str, Any] | None]] = {
    OrderKind.LOAD: _desired_load,
    OrderKind.ADAPTERS: _desired_adapters,
    OrderKind.ROLE: _desired_role,
}


def missing_orders(runner: Runner, observed: LoadedState) -> list[Order]:
    """Return the orders after which a runner has what is declared."""
    orders = []
    for kind, desired in DESIRED_BY_KIND.items():
        current = observed.loaded.get(kind.value)
        arguments = desired(runner, current)
        if arguments is not None and arguments != current:
            orders.append(Order(kind, arguments))
    return orders
