"""Ledger of what this host may use of the allowances of workspaces.

The load that it addresses: a workspace whose callers send more than its allowance, at
any of the hosts or at one alone, while hosts come and go. Each host that serves fills a
token bucket per workspace with its part of the rate, up to its part of the burst. A
host whose bucket is short borrows from others. The lender deducts before it replies,
and the borrower adds what the reply states, so that lost, late or repeated messages can
only lose units. No leader is needed, and no request is recorded anywhere else.

The use in a window of W seconds is at most the sum of all parts times
``rate x (W + LOAN_S) + burst``: what the buckets and the loans hold at its start, and
what flows in. `AllowanceLimits.headroom` is how many times that the bounds allow.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass

from ..models.host_settings import AllowanceBounds
from ..models.ids import HostName, WorkspaceName
from ..models.workspaces import Allowance
from ..utils.clock import monotonic
from .allowance_bucket import ROUNDING, AllowanceBucket, AllowanceLimits, Loan
from .allowance_lenders import AllowanceLenders, LenderShare
from .fleet_shares import FleetShares

# Seconds of demand beyond its own part that a host borrows ahead.
AHEAD_S = 0.2
# Seconds without a refusal after which a workspace is back under its allowance.
RECOVERED_S = 2.0
# Seconds without any use after which a full bucket is removed.
IDLE_S = 10.0
# Range of the waits in seconds that callers are told.
MIN_WAIT_S = 0.05
MAX_WAIT_S = 60.0


@dataclass(frozen=True, slots=True)
class AllowanceState:
    """What this host knows of the use of one allowance, for logs and operators.

    All are in the unit of the allowance, or units per second.
    """

    workspace: WorkspaceName
    held: float
    capacity: float
    rate_per_s: float
    borrowable: float
    waiting: float
    demand_per_s: float
    is_limited: bool


class SharedAllowance:
    """This host's part of the allowances of all workspaces, and what it borrowed.

    Workspaces without an allowance are not limited.

    Parameters
    ----------
    shares : FleetShares
    lenders : AllowanceLenders
    bounds : AllowanceBounds
    now : callable, default=monotonic
    """

    def __init__(
        self,
        shares: FleetShares,
        lenders: AllowanceLenders,
        bounds: AllowanceBounds,
        now: Callable[[], float] = monotonic,
    ) -> None:
        self._shares = shares
        self._lenders = lenders
        self._bounds = bounds
        self._now = now
        self._limits_by_name: dict[WorkspaceName, AllowanceLimits] = {}
        # When this host first knew the allowance.
        self._since_by_name: dict[WorkspaceName, float] = {}
        self._bucket_by_name: dict[WorkspaceName, AllowanceBucket] = {}

    @property
    def is_in_use(self) -> bool:
        """Whether any workspace has an allowance."""
        return bool(self._limits_by_name)

    def set_allowances(self, by_name: Mapping[WorkspaceName, Allowance]) -> None:
        """Replace the allowances, by the names of their workspaces.

        Buckets go on under the new limits. One of a workspace that is new starts empty.
        """
        now = self._now()
        for bucket in self._bucket_by_name.values():
            bucket.settle()
        self._limits_by_name = {
            name: AllowanceLimits.of(allowance, self._bounds)
            for name, allowance in by_name.items()
        }
        self._since_by_name = {
            name: self._since_by_name.get(name, now) for name in by_name
        }
        self._bucket_by_name = {
            name: bucket
            for name, bucket in self._bucket_by_name.items()
            if name in by_name
        }
        for name, bucket in self._bucket_by_name.items():
            bucket.limits = self._limits_by_name[name]
        self._apply_shares()

    def refresh(self) -> None:
        """Take over which hosts serve now."""
        if self._shares.refresh():
            for bucket in self._bucket_by_name.values():
                bucket.settle()
            self._apply_shares()

    def may_send(self, workspace: WorkspaceName, cost: float) -> bool:
        """Return whether a request of this cost may be admitted.

        That is, whether this host has the units or could probably borrow them, beside
        what the requests need that wait to be sent. A refusal counts as demand.
        """
        bucket = self._bucket(workspace)
        if bucket is None:
            return True
        needed = bucket.waiting + cost
        if bucket.covers(needed):
            return True
        share = self._lender_share(bucket)
        borrowable = bucket.asked + self._lenders.total(workspace, share)
        if bucket.held + borrowable >= needed:
            return True
        bucket.note_refused(cost)
        return False

    def start_waiting(self, workspace: WorkspaceName, cost: float) -> None:
        """Count a request that was admitted and isn't sent yet."""
        bucket = self._bucket(workspace)
        if bucket is not None:
            bucket.waiting += cost

    def stop_waiting(self, workspace: WorkspaceName, cost: float) -> None:
        """Take back the effect of `start_waiting`."""
        bucket = self._bucket(workspace)
        if bucket is not None:
            bucket.waiting = max(0.0, bucket.waiting - cost)

    def charge(self, workspace: WorkspaceName, cost: float) -> bool:
        """Charge the cost of a request; return False, without a charge, if short."""
        bucket = self._bucket(workspace)
        if bucket is None:
            return True
        if not bucket.covers(cost):
            return False
        bucket.deduct(cost)
        bucket.note_demand(cost)
        return True

    def refuse(self, workspace: WorkspaceName, cost: float) -> None:
        """Record that an admitted request got no units in time."""
        bucket = self._bucket(workspace)
        if bucket is not None:
            bucket.note_refused(cost)

    def give_back(self, workspace: WorkspaceName, cost: float) -> None:
        """Refund a charge of a request that no runner ran."""
        bucket = self._bucket(workspace)
        if bucket is not None:
            bucket.give_back(cost)

    def lend(self, workspace: WorkspaceName, asked: float) -> list[Loan]:
        """Deduct units for another host; return them.

        What this host's callers will need within a second, beyond its own part, is
        kept. Unknown workspaces and amounts that aren't positive get nothing.
        """
        bucket = self._bucket(workspace)
        if bucket is None or not asked > 0:
            return []
        granted = min(asked, bucket.lendable)
        return bucket.deduct(granted) if granted > 0 else []

    def lendable(self, workspace: WorkspaceName) -> tuple[float, float]:
        """Return the units that could be lent now, and how fast they grow."""
        bucket = self._bucket(workspace)
        if bucket is None:
            return 0.0, 0.0
        spare_per_s = max(0.0, bucket.rate_per_s - bucket.demand_per_s)
        return bucket.lendable, spare_per_s

    def borrow(
        self,
        workspace: WorkspaceName,
        host: HostName,
        loan: Loan,
        left: float,
        spare_per_s: float,
    ) -> None:
        """Add what another host has lent, and record what it has left."""
        self._lenders.note_reply(host, workspace, left, spare_per_s)
        bucket = self._bucket(workspace)
        if bucket is not None and loan.expires_at > self._now():
            bucket.add_loan(loan)

    def whom_to_ask(
        self, workspace: WorkspaceName, cost: float
    ) -> list[tuple[HostName, float]]:
        """Return whom to ask for what to be able to charge a cost now.

        What all requests are short of that are being sent is asked for at once. Empty
        if that is on its way, or if the others probably haven't enough for this one.
        """
        bucket = self._bucket(workspace)
        if bucket is None:
            return []
        held = bucket.held + bucket.asked
        short = max(cost, bucket.sending) - held
        if short <= ROUNDING:
            return []
        share = self._lender_share(bucket)
        asked = self._lenders.plan(workspace, cost - held, short, share)
        bucket.asked += sum(units for _, units in asked)
        return asked

    @contextmanager
    def sending(self, workspace: WorkspaceName, cost: float) -> Iterator[None]:
        """Count a request as being sent, for `whom_to_ask`, while the block runs."""
        bucket = self._bucket(workspace)
        if bucket is None:
            yield
            return
        bucket.sending += cost
        try:
            yield
        finally:
            bucket.sending -= cost

    def expects(self, workspace: WorkspaceName) -> bool:
        """Return whether other hosts were asked for units and haven't replied yet."""
        bucket = self._bucket(workspace)
        return bucket is not None and bucket.asked > ROUNDING

    def note_answered(self, workspace: WorkspaceName, asked: float) -> None:
        """Record that a request for units to another host has ended."""
        bucket = self._bucket(workspace)
        if bucket is not None:
            bucket.asked = max(0.0, bucket.asked - asked)

    def excess(self, workspace: WorkspaceName) -> float:
        """Return the units that are needed within `AHEAD_S` beyond the own part.

        0 while the own part covers the demand, and while requests come so rarely that
        most borrowed units would expire before one needs them: these borrow what they
        are short of when they are sent. Requests that wait for capacity don't count, so
        that nothing is borrowed in vain while the service has none.
        """
        bucket = self._bucket(workspace)
        if bucket is None:
            return 0.0
        needed_per_s = min(bucket.demand_per_s, bucket.limits.rate_per_s)
        excess = (needed_per_s - bucket.rate_per_s) * AHEAD_S
        return excess if excess > bucket.last_cost else 0.0

    def ask_ahead(self, workspace: WorkspaceName, host: HostName) -> float:
        """Return what to ask a host for ahead, and count it as asked."""
        bucket = self._bucket(workspace)
        if bucket is None:
            return 0.0
        needed = self.excess(workspace) - bucket.held - bucket.asked
        if needed <= 0:
            return 0.0
        share = self._lender_share(bucket)
        units = min(needed, self._lenders.units_of(host, workspace, share))
        if units > 0:
            self._lenders.note_asked(host, workspace, units, share)
            bucket.asked += units
        return units

    def note_failure(self, host: HostName) -> None:
        """Record that a host didn't reply to a request for units."""
        self._lenders.note_failure(host)

    def wait_s(self, workspace: WorkspaceName, cost: float) -> float:
        """Return the seconds until this host can probably have the cost of a request.

        Refused requests are told times one after another, at the rate at which units
        arrive, since all of them coming back at once would be refused again.
        """
        bucket = self._bucket(workspace)
        if bucket is None:
            return 0.0
        share = self._lender_share(bucket)
        rate = bucket.rate_per_s + self._lenders.spare_per_s(workspace, share)
        rate = min(rate, bucket.limits.rate_per_s)
        if rate <= 0 or cost > bucket.limits.largest_cost:
            return MAX_WAIT_S
        borrowable = self._lenders.total(workspace, share)
        available = bucket.held + bucket.asked + borrowable - bucket.waiting
        wait_s = bucket.promise(cost, available, rate)
        return min(MAX_WAIT_S, max(MIN_WAIT_S, wait_s))

    def mark_limited(self, workspace: WorkspaceName) -> bool:
        """Record that a request was refused; return whether it is the first."""
        bucket = self._bucket(workspace)
        if bucket is None or bucket.is_limited:
            return False
        bucket.is_limited = True
        return True

    def recovered(self) -> list[WorkspaceName]:
        """Return workspaces that are back under their allowance since the last call."""
        since = self._now() - RECOVERED_S
        names = [
            name
            for name, bucket in self._bucket_by_name.items()
            if bucket.is_limited and bucket.refused_at < since
        ]
        for name in names:
            self._bucket_by_name[name].is_limited = False
        return names

    def states(self) -> Iterable[AllowanceState]:
        """Return the states of the allowances that were used recently."""
        return [self.state(name) for name in list(self._bucket_by_name)]

    def state(self, workspace: WorkspaceName) -> AllowanceState:
        """Return the state of an allowance; raises `KeyError` if there is none."""
        bucket = self._bucket(workspace)
        if bucket is None:
            raise KeyError(workspace)
        return AllowanceState(
            workspace,
            held=bucket.held,
            capacity=bucket.capacity,
            rate_per_s=bucket.rate_per_s,
            borrowable=self._lenders.total(workspace, self._lender_share(bucket)),
            waiting=bucket.waiting,
            demand_per_s=bucket.demand_per_s,
            is_limited=bucket.is_limited,
        )

    def prune(self) -> None:
        """Remove full buckets that are not used; they would start full again."""
        self._lenders.prune()
        since = self._now() - IDLE_S
        for name, bucket in list(self._bucket_by_name.items()):
            bucket.settle()
            if bucket.used_at < since and bucket.is_idle:
                del self._bucket_by_name[name]

    def _bucket(self, name: WorkspaceName) -> AllowanceBucket | None:
        bucket = self._bucket_by_name.get(name)
        if bucket is not None:
            bucket.settle()
            return bucket
        limits = self._limits_by_name.get(name)
        if limits is None:
            return None
        # It has filled since this host has had a part and knew of the allowance.
        since = max(self._shares.since, self._since_by_name[name])
        bucket = AllowanceBucket(limits, self._now, min(self._now(), since))
        self._bucket_by_name[name] = bucket
        self._apply_share(bucket)
        bucket.settle()
        return bucket

    def _apply_shares(self) -> None:
        for bucket in self._bucket_by_name.values():
            self._apply_share(bucket)

    def _apply_share(self, bucket: AllowanceBucket) -> None:
        share = self._lender_share(bucket)
        if self._shares.has_share:
            bucket.resize(share.rate_per_s, share.capacity)
        else:
            bucket.resize(0.0, 0.0)

    def _lender_share(self, bucket: AllowanceBucket) -> LenderShare:
        limits = bucket.limits
        part = self._shares.part(limits.headroom)
        return LenderShare(part * limits.rate_per_s, part * limits.burst)
