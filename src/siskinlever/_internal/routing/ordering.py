"""The order in which waiting requests are served."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from .estimates import OfferedLoad
from .reservations import Cost, ReservationRequest

# Requests whose worth for what they take is this close count as equal.
BAND_RATIO = 1.3
# How sharply the scarcer resource decides.
SCARCITY_EXPONENT = 4
# A deferrable request competes like the others in this last part of its time.
AGED_FRACTION = 0.3


@dataclass(slots=True)
class Capacity:
    """What the open runners of a pool do in one second.

    Parameters
    ----------
    prefill : int
        Prefill runners.
    decode : int
        Decode slots.
    """

    prefill: int
    decode: int


@dataclass(frozen=True, slots=True)
class Scarcity:
    """Prices of a second of a prefill runner and of a decode slot."""

    prefill: float
    decode: float

    def density(self, requested: ReservationRequest, cost: Cost) -> float:
        """Return a request's worth for what it takes of scarce resources."""
        weighted_cost = self.prefill * cost.prefill_s + self.decode * cost.hold_s
        return requested.model.worth / max(weighted_cost, 1e-12)


@dataclass(slots=True)
class PoolLoad:
    """The load offered to each resource of a pool."""

    prefill: OfferedLoad = field(default_factory=OfferedLoad)
    decode: OfferedLoad = field(default_factory=OfferedLoad)
    interactive_prefill: OfferedLoad = field(default_factory=OfferedLoad)
    interactive_decode: OfferedLoad = field(default_factory=OfferedLoad)

    def add(self, requested: ReservationRequest, cost: Cost, now: float) -> None:
        """Count a request that arrives now."""
        self.prefill.add(cost.prefill_s, now)
        self.decode.add(cost.hold_s, now)
        if not requested.deferrable:
            self.interactive_prefill.add(cost.prefill_s, now)
            self.interactive_decode.add(cost.hold_s, now)

    def load(self, capacity: Capacity, now: float) -> float:
        """Return the load of the busiest resource."""
        return max(
            self.prefill.utilization(capacity.prefill, now),
            self.decode.utilization(capacity.decode, now),
        )

    def interactive_load(self, capacity: Capacity, now: float) -> float:
        """Return the part of the load that cannot wait."""
        return max(
            self.interactive_prefill.utilization(capacity.prefill, now),
            self.interactive_decode.utilization(capacity.decode, now),
        )

    def scarcity(self, capacity: Capacity, now: float) -> Scarcity:
        """Return what a second of each resource is worth, one to the other."""
        prefill = self.prefill.utilization(capacity.prefill, now) ** SCARCITY_EXPONENT
        decode = self.decode.utilization(capacity.decode, now) ** SCARCITY_EXPONENT
        return Scarcity(
            prefill / max(capacity.prefill, 1), decode / max(capacity.decode, 1)
        )


def order_key(
    requested: ReservationRequest, density: float, now: float
) -> tuple[bool, int, float]:
    """Return the key by which waiting requests are sorted.

    Requests that cannot wait go first, and deferrable ones whose time runs
    out; among these the worthiest for what they take, then by deadline.
    """
    remaining_s = requested.due - now
    aged = remaining_s < AGED_FRACTION * requested.model.answer_within_s
    band = -round(math.log(density, BAND_RATIO))
    return (requested.deferrable and not aged, band, requested.due)
