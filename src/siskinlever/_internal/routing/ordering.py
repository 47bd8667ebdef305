"""Load of a pool and the order in which waiting requests are served."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from .estimates import OfferedLoad
from .reservations import Cost, ReservationRequest

# Ratio of the upper to the lower bound of a density band. Densities (worth per
# weighted cost) in the same band count as equal.
DENSITY_BAND_RATIO = 1.3
# The higher this is, the more the scarcer resource determines the order.
SCARCITY_EXPONENT = 4
# A deferrable request is ordered like an interactive one in this last fraction of
# its `answer_within_s`.
AGED_FRACTION = 0.3


@dataclass(slots=True)
class Capacity:
    """Capacity of a pool's runners that take new work, in seconds of work per second.

    Parameters
    ----------
    prefill : int
        Number of prefill runners.
    decode : int
        Number of decode slots.
    """

    prefill: int
    decode: int


@dataclass(frozen=True, slots=True)
class Scarcity:
    """Relative prices of a second of a prefill runner and of a decode slot."""

    prefill: float
    decode: float

    def density(self, requested: ReservationRequest, cost: Cost) -> float:
        """Return a request's worth per unit of resources, weighted by scarcity."""
        weighted_cost = self.prefill * cost.prefill_s + self.decode * cost.hold_s
        return requested.model.worth / max(weighted_cost, 1e-12)


@dataclass(slots=True)
class PoolLoad:
    """The load offered to the prefill runners and decode slots of a pool."""

    prefill: OfferedLoad = field(default_factory=OfferedLoad)
    decode: OfferedLoad = field(default_factory=OfferedLoad)
    interactive_prefill: OfferedLoad = field(default_factory=OfferedLoad)
    interactive_decode: OfferedLoad = field(default_factory=OfferedLoad)

    def add(self, requested: ReservationRequest, cost: Cost, now: float) -> None:
        """Count the predicted cost of an arriving request."""
        self.prefill.add(cost.prefill_s, now)
        self.decode.add(cost.hold_s, now)
        if not requested.deferrable:
            self.interactive_prefill.add(cost.prefill_s, now)
            self.interactive_decode.add(cost.hold_s, now)

    def load(self, capacity: Capacity, now: float) -> float:
        """Return the load of the busiest resource, where 1.0 is its capacity."""
        return max(
            self.prefill.utilization(capacity.prefill, now),
            self.decode.utilization(capacity.decode, now),
        )

    def interactive_load(self, capacity: Capacity, now: float) -> float:
        """Return the load of interactive requests on the resource they use most."""
        return max(
            self.interactive_prefill.utilization(capacity.prefill, now),
            self.interactive_decode.utilization(capacity.decode, now),
        )

    def scarcity(self, capacity: Capacity, now: float) -> Scarcity:
        """Return the relative prices of the resources at their present load."""
        prefill = self.prefill.utilization(capacity.prefill, now) ** SCARCITY_EXPONENT
        decode = self.decode.utilization(capacity.decode, now) ** SCARCITY_EXPONENT
        return Scarcity(
            prefill / max(capacity.prefill, 1), decode / max(capacity.decode, 1)
        )


def order_key(
    requested: ReservationRequest, density: float, now: float
) -> tuple[bool, int, float]:
    """Return the sort key of a waiting request.

    Interactive requests and deferrable ones close to their deadline come first.
    Within each group, requests are sorted by descending density band and then
    by deadline.
    """
    remaining_s = requested.due - now
    aged = remaining_s < AGED_FRACTION * requested.model.answer_within_s
    band = -round(math.log(density, DENSITY_BAND_RATIO))
    return (requested.deferrable and not aged, band, requested.due)
