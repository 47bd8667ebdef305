"""What one host holds of the allowance of one workspace.

The load that it addresses: requests whose costs differ, up to more than a host's part
of the allowance brings in a second. The host's own part fills the bucket up to its part
of the burst; borrowed units come on top of that. They expire soon, also if they are
lent on, so that those of all hosts together add no more to the burst than the rate
brings in `LOAN_S`.
"""

from __future__ import annotations

import math
from bisect import insort
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from ..models.host_settings import AllowanceBounds
from ..models.workspaces import Allowance, AllowanceUnit
from ..utils.decay import DecayingSum

# Fraction of the rate that hosts use. The rest is a margin for hosts that count each
# other differently for a time.
RATE_FRACTION = 0.95
# Seconds after which borrowed units expire. Longer lifetimes add to the burst; with
# shorter ones, many units expire before a request needs them.
LOAN_S = 1.0
# Loans that expire in the same step of so many seconds are kept as one, so that their
# number is bounded: many requests borrow small amounts.
LOAN_STEP_S = 0.05
# The burst is at least what the rate brings in so many seconds; without one, no bucket
# could hold the cost of a request.
MIN_BURST_S = 0.5
# Differences of units smaller than this are rounding errors.
ROUNDING = 1e-6
# Half-life in seconds of the measured demand.
DEMAND_HALF_LIFE_S = 1.5
# Seconds of its own demand that a lender keeps.
KEPT_S = 1.0
# A host's demand counts until no request has come for so many times their mean
# distance, and for so many seconds at the most.
ACTIVE_GAPS = 3.0
MAX_ACTIVE_S = 1.0
# Refused requests are told times within about so many seconds; callers don't wait
# longer.
MAX_PROMISED_S = 8.0


@dataclass(frozen=True, slots=True)
class AllowanceLimits:
    """What all hosts together do with an allowance.

    Parameters
    ----------
    rate_per_s, burst : float
        Units per second, and units that all buckets together hold.
    headroom : float
        How many times that the bounds allow in a window.
    """

    rate_per_s: float
    burst: float
    headroom: float

    @property
    def largest_cost(self) -> float:
        """Most that one host can hold if it borrows from all others."""
        return self.burst + self.rate_per_s * LOAN_S

    @classmethod
    def of(cls, allowance: Allowance, bounds: AllowanceBounds) -> AllowanceLimits:
        """Return the limits of an allowance.

        The use in a window is at most what the buckets and the loans hold at its start,
        and what flows in.
        """
        rate = RATE_FRACTION * allowance.rate_per_s
        burst = max(allowance.burst, MIN_BURST_S * rate)
        allowed = allowance.rate_per_s * bounds.window_s + allowance.burst
        allowed *= 1 + bounds.overage
        if allowance.unit is AllowanceUnit.TOKENS:
            allowed += bounds.tolerance
        return cls(rate, burst, allowed / (rate * (bounds.window_s + LOAN_S) + burst))


@dataclass(slots=True)
class Loan:
    """Units that were borrowed, or are lent.

    Parameters
    ----------
    units : float
    expires_at : float
        Monotonic time.
    """

    units: float
    expires_at: float


@dataclass(slots=True)
class AllowanceBucket:
    """What this host holds of one workspace's allowance.

    Parameters
    ----------
    limits : AllowanceLimits
    now : callable
    settled_at : float
        Monotonic time from which it has filled.

    Attributes
    ----------
    own, held : float
        Units of this host's part, and with those that it borrowed.
    rate_per_s, capacity : float
        This host's part of the rate and the burst; 0 if it has none.
    waiting : float
        Units that requests need which were admitted and aren't sent yet.
    sending : float
        Of these, what requests need that wait for borrowed units.
    asked : float
        Units that other hosts were asked for and haven't replied about.
    last_cost : float
        Cost of the latest request that was charged or refused.
    promised : float
        Cost of the refused requests that were told when to come back, as far as they
        aren't due yet, at `promised_at`.
    is_limited : bool
        Whether requests have been refused recently, the last one at `refused_at`.
    """

    limits: AllowanceLimits
    now: Callable[[], float]
    settled_at: float
    own: float = 0.0
    rate_per_s: float = 0.0
    capacity: float = 0.0
    waiting: float = 0.0
    sending: float = 0.0
    asked: float = 0.0
    last_cost: float = 0.0
    promised: float = 0.0
    promised_at: float = 0.0
    refused_at: float = float("-inf")
    is_limited: bool = False
    # When a request of this host's callers was last charged or refused.
    noted_at: float = float("-inf")
    used_at: float = field(init=False)
    _demand: DecayingSum = field(init=False)
    # Those that expire first come first.
    _loans: deque[Loan] = field(default_factory=deque)

    def __post_init__(self) -> None:
        self.used_at = self.now()
        # What was charged to this host's callers or refused to them.
        self._demand = DecayingSum(DEMAND_HALF_LIFE_S, self.now)

    @property
    def held(self) -> float:
        return self.own + sum(loan.units for loan in self._loans)

    @property
    def demand_per_s(self) -> float:
        """Demand of this host's callers, in units per second; 0 if they have left."""
        per_s = self._demand.value * math.log(2) / DEMAND_HALF_LIFE_S
        if not per_s:
            return 0.0
        active_s = min(MAX_ACTIVE_S, ACTIVE_GAPS * self.last_cost / per_s)
        return per_s if self.now() - self.noted_at <= active_s else 0.0

    @property
    def is_idle(self) -> bool:
        """Whether a new bucket would hold the same."""
        is_full = self.own >= self.capacity and not self._loans
        return is_full and not self.waiting and not self.asked

    def covers(self, units: float) -> bool:
        """Return whether so many units are held."""
        return self.held >= units - ROUNDING

    @property
    def lendable(self) -> float:
        """Units that its own callers don't need within the next second."""
        excess_per_s = max(0.0, self.demand_per_s - self.rate_per_s)
        kept = self.waiting + KEPT_S * excess_per_s
        return max(0.0, self.held - kept)

    def settle(self) -> None:
        """Add what flowed in since the last call, and drop expired loans."""
        now = self.now()
        elapsed_s = max(0.0, now - self.settled_at)
        self.settled_at = max(self.settled_at, now)
        self.own = min(self.capacity, self.own + self.rate_per_s * elapsed_s)
        while self._loans and self._loans[0].expires_at <= now:
            self._loans.popleft()

    def resize(self, rate_per_s: float, capacity: float) -> None:
        """Change this host's part; what it holds beyond that is lost."""
        self.rate_per_s, self.capacity = rate_per_s, capacity
        self.own = min(self.own, capacity)

    def deduct(self, units: float) -> list[Loan]:
        """Take units that are held; return them with the times at which they expire.

        The own part goes first: a full bucket would lose what flows in.
        """
        now = self.now()
        self.used_at = now
        from_own = min(self.own, units)
        self.own -= from_own
        units -= from_own
        parts = [Loan(from_own, now + LOAN_S)]
        while units > ROUNDING and self._loans:
            loan = self._loans[0]
            taken = min(loan.units, units)
            loan.units -= taken
            units -= taken
            parts.append(Loan(taken, loan.expires_at))
            if loan.units <= ROUNDING:
                self._loans.popleft()
        return [part for part in parts if part.units > 0]

    def add_loan(self, loan: Loan) -> None:
        """Add borrowed units; they may expire up to `LOAN_STEP_S` earlier."""
        if loan.units <= 0:
            return
        expires_at = math.floor(loan.expires_at / LOAN_STEP_S) * LOAN_STEP_S
        for other in self._loans:
            if other.expires_at == expires_at:
                other.units += loan.units
                return
        insort(
            self._loans, Loan(loan.units, expires_at), key=lambda item: item.expires_at
        )

    def give_back(self, units: float) -> None:
        """Add units that were deducted; those that don't fit count as borrowed."""
        fitting = max(0.0, min(units, self.capacity - self.own))
        self.own += fitting
        self.add_loan(Loan(units - fitting, self.now() + LOAN_S))

    def note_demand(self, cost: float) -> None:
        """Count the cost of a request that was charged or refused."""
        self.used_at = self.noted_at = self.now()
        self.last_cost = cost
        self._demand.add(cost)

    def note_refused(self, cost: float) -> None:
        """Count a request that was refused."""
        self.refused_at = self.now()
        if cost > self.limits.largest_cost:
            # Whatever this host borrows, it can't be served.
            return
        if self.waiting <= max(self.held, self.last_cost):
            # Otherwise requests wait for capacity, and units would be in vain.
            self.note_demand(cost)

    def promise(self, cost: float, available: float, rate_per_s: float) -> float:
        """Return the seconds until a request can be charged, and count it as promised.

        Refused requests are told times one after another, since all of them coming back
        at once would be refused again.
        """
        now = self.now()
        due = rate_per_s * (now - self.promised_at)
        self.promised = max(0.0, self.promised - due)
        self.promised_at = now
        missing = self.promised + cost - max(0.0, available)
        self.promised = min(self.promised + cost, MAX_PROMISED_S * rate_per_s)
        return missing / rate_per_s
