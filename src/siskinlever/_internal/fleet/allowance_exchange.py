"""Lends and borrows parts of the allowances of workspaces between hosts.

What to ask of whom, and what to lend, is decided by `dispatch.shared_allowance`. A host
that is short asks when a request is about to be sent, which then waits for a moment. A
host whose callers need more than its own part also asks ahead, a few hosts at a time,
so that most requests needn't wait. Nobody asks for a workspace without such callers.
"""

from __future__ import annotations

import asyncio
import random
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping

from ..dispatch.allowance_bucket import LOAN_S, Loan
from ..dispatch.allowance_lenders import AllowanceLenders
from ..dispatch.fleet_shares import FleetShares
from ..dispatch.shared_allowance import SharedAllowance
from ..exceptions import PeerError
from ..logs.lines import LogLines
from ..metrics.registry import Metrics
from ..models.host_settings import AllowanceBounds
from ..models.ids import HostName, WorkspaceName
from ..models.upstreams import Address
from ..models.workspaces import Allowance
from ..peers import peer_pb2
from ..peers.link import Peers
from ..utils.clock import MS_PER_S, monotonic
from ..utils.tasks import TaskSet
from .configuration import ConfigurationInForce
from .hosts import HostStatus

# Seconds between two looks at which hosts serve.
REFRESH_S = 0.25
# Seconds between two searches for buckets that are no longer used.
PRUNE_PERIOD_S = 10.0
# Seconds after which a lender is asked ahead again, and of each step in which some of
# the lenders are asked.
ASK_PERIOD_S = 0.25
ASK_STEP_S = 0.05
# A reply that takes longer is lost, and so are the units that it states.
CALL_TIMEOUT_S = 0.4
# Longest time in seconds that a request waits for borrowed units.
OBTAIN_TIMEOUT_S = 0.1
# How often one request lets others be asked; each time, they may have less than it
# seemed.
MAX_ROUNDS = 3
# Workspaces in one message.
MAX_NEEDS = 64


class AllowanceExchange:
    """This host's allowances, kept up to date, with the peer call that lends them.

    Parameters
    ----------
    own_host : str
    bounds : AllowanceBounds
    serving : callable
        Returns the hosts that serve now, with this one if it is one of them.
    possible : callable
        Returns the hosts that may serve, also those that were lost recently.
    others : callable
        Returns the other live hosts that serve callers.
    configuration : ConfigurationInForce
    peers : Peers
    log : LogLines
    metrics : Metrics
    tasks : TaskSet

    Attributes
    ----------
    ledger : SharedAllowance
    """

    def __init__(
        self,
        own_host: HostName,
        bounds: AllowanceBounds,
        serving: Callable[[], Iterable[HostName]],
        possible: Callable[[], Iterable[HostName]],
        others: Callable[[], Iterable[HostStatus]],
        configuration: ConfigurationInForce,
        peers: Peers,
        log: LogLines,
        metrics: Metrics,
        tasks: TaskSet,
    ) -> None:
        self._shares = FleetShares(
            own_host, lambda: frozenset(serving()), lambda: frozenset(possible())
        )
        self._lenders = AllowanceLenders(lambda: self._address_by_host)
        self.ledger = SharedAllowance(self._shares, self._lenders, bounds)
        self._others = others
        self._configuration = configuration
        self._peers = peers
        self._log = log
        self._metrics = metrics
        self._tasks = tasks
        self._version = 0
        self._address_by_host: dict[HostName, Address] = {}
        # Workspaces whose callers at this host need more than its own part.
        self._needy: set[WorkspaceName] = set()
        self._asked_at_by_host: dict[HostName, float] = {}
        self._is_asking = False
        # Set when the next call ends.
        self._answered = asyncio.Event()

    async def run(self) -> None:
        """Follow which hosts serve, while there are allowances, until cancelled."""
        pruned_at = monotonic()
        while True:
            await asyncio.sleep(REFRESH_S)
            self.apply_configuration()
            if not self.ledger.is_in_use:
                continue
            self._refresh()
            for name in self.ledger.recovered():
                self._log.write("quota.under", "", workspace=name, **self.details(name))
            if monotonic() - pruned_at >= PRUNE_PERIOD_S:
                pruned_at = monotonic()
                self.ledger.prune()

    def apply_configuration(self) -> None:
        """Apply the allowances of the configuration in force, if it has changed."""
        current = self._configuration.current
        if current is None or current.version == self._version:
            return
        self._version = current.version
        by_digest = current.workspace_by_key_digest or {}
        allowances: dict[WorkspaceName, Allowance] = {
            workspace.name: workspace.allowance
            for workspace in by_digest.values()
            if workspace.allowance is not None
        }
        if allowances or self.ledger.is_in_use:
            self.ledger.set_allowances(allowances)
            self._refresh()

    def may_send(self, workspace: WorkspaceName, cost: float) -> bool:
        """Return whether a request may be admitted, as `SharedAllowance.may_send`."""
        self.apply_configuration()
        is_admitted = self.ledger.may_send(workspace, cost)
        if not is_admitted:
            self._note_refused(workspace, cost)
        return is_admitted

    async def obtain(self, workspace: WorkspaceName, cost: float) -> bool:
        """Charge the cost of a request, with borrowed units if needed.

        Returns
        -------
        is_charged : bool
            False if other hosts lent too little within `OBTAIN_TIMEOUT_S`.
        """
        is_charged = self.ledger.charge(workspace, cost)
        if not is_charged:
            # Unless the time limit ends it, the loop ends with a charge or when no
            # host has anything left.
            try:
                async with asyncio.timeout(OBTAIN_TIMEOUT_S):
                    is_charged = await self._borrow_and_charge(workspace, cost)
            except TimeoutError:
                is_charged = self.ledger.charge(workspace, cost)
            self._metrics.count(
                "quota_borrowings", outcome="enough" if is_charged else "too_little"
            )
        if is_charged:
            self._ask_ahead_if_needed(workspace)
        else:
            self.ledger.refuse(workspace, cost)
            self._note_refused(workspace, cost)
        return is_charged

    async def serve(self, message: peer_pb2.BorrowRequest) -> peer_pb2.BorrowReply:
        """Lend what another host asks for, as far as this one doesn't need it."""
        self.apply_configuration()
        loans = []
        for need in message.needs[:MAX_NEEDS]:
            name = WorkspaceName(need.workspace)
            lent = self.ledger.lend(name, need.units)
            left, spare_per_s = self.ledger.lendable(name)
            self._metrics.count("quota_loans", granted="some" if lent else "none")
            loans += [
                peer_pb2.AllowanceLoan(
                    workspace=name,
                    units=loan.units,
                    left=left,
                    spare_per_s=spare_per_s,
                    lifetime_ms=int((loan.expires_at - monotonic()) * MS_PER_S),
                )
                for loan in lent or [Loan(0.0, monotonic())]
            ]
        return peer_pb2.BorrowReply(loans=loans)

    def _refresh(self) -> None:
        self._address_by_host = {
            status.host: status.peers_address for status in self._others()
        }
        self.ledger.refresh()

    async def _borrow_and_charge(self, workspace: WorkspaceName, cost: float) -> bool:
        with self.ledger.sending(workspace, cost):
            rounds = 0
            while not self.ledger.charge(workspace, cost):
                asked = []
                if rounds < MAX_ROUNDS:
                    asked = self.ledger.whom_to_ask(workspace, cost)
                    rounds += bool(asked)
                for host, units in asked:
                    # The call goes on when the time limit ends the wait: what it brings
                    # is of use to other requests.
                    self._tasks.start(self._borrow(host, {workspace: units}), "borrow")
                if not self.ledger.expects(workspace):
                    return False
                await self._answered.wait()
            return True

    async def _borrow(
        self, host: HostName, units_by_workspace: Mapping[WorkspaceName, float]
    ) -> None:
        reply, asked_at = peer_pb2.BorrowReply(), monotonic()
        try:
            reply = await self._call(host, units_by_workspace)
        except PeerError:
            # The link counts the failure.
            self.ledger.note_failure(host)
        finally:
            for name, units in units_by_workspace.items():
                self.ledger.note_answered(name, units)
            answered, self._answered = self._answered, asyncio.Event()
            answered.set()
        for loan in reply.loans:
            name = WorkspaceName(loan.workspace)
            if name in units_by_workspace:
                # The lifetime began later than the call.
                expires_at = asked_at + min(LOAN_S, loan.lifetime_ms / MS_PER_S)
                units = min(loan.units, units_by_workspace[name])
                self.ledger.borrow(
                    name, host, Loan(units, expires_at), loan.left, loan.spare_per_s
                )

    async def _call(
        self, host: HostName, units_by_workspace: Mapping[WorkspaceName, float]
    ) -> peer_pb2.BorrowReply:
        address = self._address_by_host.get(host)
        if address is None:
            raise PeerError(f"host {host} no longer serves")
        message = peer_pb2.BorrowRequest(
            needs=[
                peer_pb2.AllowanceNeed(workspace=name, units=units)
                for name, units in units_by_workspace.items()
            ]
        )
        # Never tried again: the lender deducts each time.
        reply: peer_pb2.BorrowReply = await self._peers.call_address(
            address, "BorrowAllowance", message, CALL_TIMEOUT_S, tries=1
        )
        return reply

    def _note_refused(self, workspace: WorkspaceName, cost: float) -> None:
        if self.ledger.mark_limited(workspace):
            self._log.write(
                "quota.reached",
                "",
                workspace=workspace,
                cost=cost,
                **self.details(workspace),
            )
        self._ask_ahead_if_needed(workspace)

    def details(self, workspace: WorkspaceName) -> dict[str, str | int | float]:
        """Return the inputs of a decision on a workspace's allowance, for the log."""
        state = self.ledger.state(workspace)
        return {
            "held": round(state.held, 1),
            "capacity": round(state.capacity, 1),
            "rate_per_s": round(state.rate_per_s, 1),
            "borrowable": round(state.borrowable, 1),
            "waiting": round(state.waiting, 1),
            "demand_per_s": round(state.demand_per_s, 1),
            "has_share": self._shares.has_share,
            "hosts": self._shares.hosts,
            "recent_hosts": self._shares.recent_hosts,
        }

    def _ask_ahead_if_needed(self, workspace: WorkspaceName) -> None:
        if self.ledger.excess(workspace) <= 0:
            return
        self._needy.add(workspace)
        if not self._is_asking:
            self._is_asking = True
            self._tasks.start(self._ask_ahead(), "ask-ahead")

    async def _ask_ahead(self) -> None:
        """Ask the lenders by turns until no workspace is in need."""
        try:
            while self._needy:
                for host in self._due_lenders():
                    self._ask_one_ahead(host)
                await asyncio.sleep(ASK_STEP_S)
                self._needy = {
                    name for name in self._needy if self.ledger.excess(name) > 0
                }
        finally:
            self._is_asking = False

    def _due_lenders(self) -> list[HostName]:
        """Return the lenders to ask in this step, those first that were asked first."""
        now, asked_at = monotonic(), self._asked_at_by_host
        self._asked_at_by_host = {
            host: asked_at.get(host, now - random.uniform(0.5, 1.5) * ASK_PERIOD_S)
            for host in self._address_by_host
        }
        due = [
            host
            for host, at in self._asked_at_by_host.items()
            if now - at >= ASK_PERIOD_S
        ]
        return sorted(due, key=lambda host: self._asked_at_by_host[host])

    def _ask_one_ahead(self, host: HostName) -> None:
        units_by_workspace: dict[WorkspaceName, float] = defaultdict(float)
        for name in list(self._needy)[:MAX_NEEDS]:
            units = self.ledger.ask_ahead(name, host)
            if units > 0:
                units_by_workspace[name] = units
        if units_by_workspace:
            self._asked_at_by_host[host] = monotonic()
            self._tasks.start(self._borrow(host, units_by_workspace), "borrow-ahead")
