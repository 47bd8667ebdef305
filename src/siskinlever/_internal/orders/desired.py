"""Compares the declared state of a runner with its observed state."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from ..engines.base import LoadedState
from ..models.declaration import Runner


class OrderKind(Enum):
    """What an order changes; the value is the name that engines use for it."""

    LOAD = "load"
    ADAPTERS = "adapters"
    ROLE = "role"


# Orders that make a runner load from the weight store.
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


# Each function takes a runner and the arguments observed there, and returns the
# declared arguments, or None if nothing is to be ordered. Listed in sending order:
# adapters are loaded on top of a loaded version.
DESIRED_BY_KIND: dict[OrderKind, Callable[[Runner, Any], dict[str, Any] | None]] = {
    OrderKind.LOAD: _desired_load,
    OrderKind.ADAPTERS: _desired_adapters,
    OrderKind.ROLE: _desired_role,
}


def missing_orders(runner: Runner, observed: LoadedState) -> list[Order]:
    """Return the orders that bring a runner to its declared state, in sending order."""
    orders = []
    for kind, desired in DESIRED_BY_KIND.items():
        current = observed.loaded.get(kind.value)
        arguments = desired(runner, current)
        if arguments is not None and arguments != current:
            orders.append(Order(kind, arguments))
    return orders
