"""Quotas hold over all hosts, and most of them can be used wherever callers connect."""

from __future__ import annotations

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from siskinlever._internal.dispatch.allowance_bucket import LOAN_S, AllowanceLimits
from siskinlever._internal.dispatch.allowance_lenders import AllowanceLenders
from siskinlever._internal.dispatch.fleet_shares import FleetShares
from siskinlever._internal.dispatch.shared_allowance import SharedAllowance
from siskinlever._internal.models.host_settings import AllowanceBounds
from siskinlever._internal.models.ids import HostName, WorkspaceName
from siskinlever._internal.models.workspaces import Allowance, AllowanceUnit
from siskinlever_testbed.quota_model import CHOOSE_BY_CALLERS, REQUEST_QUOTA, simulate

SIZES = (8, 66, 195, 400)
# Of the quota, wherever callers connect.
MIN_USE = 0.85


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("seed", range(2))
def test_no_window_exceeds_the_bound_while_hosts_fail(size, seed):
    """Hosts are killed, started, suspended and cut off; messages are lost or late."""
    for callers in ("all", "moving"):
        outcome = simulate(size, callers, "transfers", seed, has_faults=True, load=4.0)
        assert outcome.largest <= 1, outcome


@pytest.mark.parametrize("seed", range(2))
def test_bound_without_a_tolerance_holds_while_hosts_fail(seed):
    outcome = simulate(66, "all", "transfers", seed, True, REQUEST_QUOTA, load=4.0)
    assert outcome.largest <= 1, outcome


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("callers", CHOOSE_BY_CALLERS)
def test_most_of_the_quota_is_usable_wherever_callers_connect(size, callers):
    outcome = simulate(size, callers, "transfers", 1)
    assert outcome.largest <= 1, outcome
    assert outcome.used >= MIN_USE, outcome


ALLOWANCE = Allowance(AllowanceUnit.TOKENS, 800.0, 1600.0, 10.0)
BOUNDS = AllowanceBounds(window_s=8.0, overage=0.1, tolerance=0.0)
LIMITS = AllowanceLimits.of(ALLOWANCE, BOUNDS)
NAME = WorkspaceName("w")
HOSTS = [HostName(f"h{number}") for number in range(8)]
HOST = st.sampled_from(HOSTS)
UNITS = st.sampled_from([1.0, 30.0, 200.0, 1000.0])


class Ledgers(RuleBasedStateMachine):
    """Eight hosts that know each other lend to each other at any time."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        # Times and units of charges; a refund removes its charge.
        self.charges: list[tuple[float, float]] = []
        self.ledger_by_host = {host: self.start(host) for host in HOSTS}
        self.late_loans: list[tuple[HostName, list]] = []
        self.advance_time(2.0)

    def start(self, host):
        shares = FleetShares(host, lambda: HOSTS, lambda: HOSTS, lambda: self.now)
        lenders = AllowanceLenders(lambda: HOSTS, lambda: self.now)
        ledger = SharedAllowance(shares, lenders, BOUNDS, lambda: self.now)
        ledger.set_allowances({NAME: ALLOWANCE})
        return ledger

    @rule(host=HOST, units=UNITS)
    def host_charges(self, host, units):
        while self.ledger_by_host[host].charge(NAME, units):
            self.charges.append((self.now, units))

    @rule(host=HOST, units=UNITS)
    def request_is_refunded(self, host, units):
        if self.ledger_by_host[host].charge(NAME, units):
            self.ledger_by_host[host].give_back(NAME, units)

    @rule(
        lender=HOST,
        borrower=HOST,
        units=UNITS,
        fate=st.sampled_from(["arrives", "late", "lost", "served twice"]),
    )
    def host_borrows(self, lender, borrower, units, fate):
        before = self.held()
        loans = self.ledger_by_host[lender].lend(NAME, units)
        if fate == "served twice":
            self.ledger_by_host[lender].lend(NAME, units)
        if fate == "late":
            self.late_loans.append((borrower, loans))
        elif fate != "lost":
            self.add(borrower, loans)
        assert self.held() <= before + 1e-3

    def held(self):
        return sum(ledger.state(NAME).held for ledger in self.ledger_by_host.values())

    @rule()
    def late_replies_arrive(self):
        for borrower, loans in self.late_loans:
            self.add(borrower, loans)
        self.late_loans.clear()

    def add(self, borrower, loans):
        for loan in loans:
            self.ledger_by_host[borrower].borrow(NAME, HOSTS[0], loan, 0.0, 0.0)

    @rule(host=HOST)
    def host_restarts(self, host):
        self.ledger_by_host[host] = self.start(host)

    @rule(seconds=st.sampled_from([0.05, 0.3, 0.9, 2.0, 9.0]))
    def advance_time(self, seconds):
        self.now += seconds
        for ledger in self.ledger_by_host.values():
            ledger.refresh()

    @invariant()
    def no_window_exceeds_what_was_held_and_flowed_in(self):
        since = self.now - BOUNDS.window_s
        used = sum(units for at, units in self.charges if at > since)
        flowed_in = LIMITS.rate_per_s * (BOUNDS.window_s + LOAN_S)
        assert used <= flowed_in + LIMITS.burst + 1e-3


TestLedgers = Ledgers.TestCase


def test_borrowed_units_that_are_lent_on_expire_when_they_would_have():
    """Otherwise hosts could keep units alive by passing them on."""
    machine = Ledgers()
    machine.advance_time(9.0)
    first, second, third = (machine.ledger_by_host[host] for host in HOSTS[:3])
    own = first.state(NAME).held
    for loan in first.lend(NAME, own):
        second.borrow(NAME, HOSTS[0], loan, 0.0, 0.0)
    machine.now += 0.6
    loans = second.lend(NAME, second.state(NAME).held)
    assert sum(loan.units for loan in loans) > own
    for loan in loans:
        third.borrow(NAME, HOSTS[1], loan, 0.0, 0.0)
    held = third.state(NAME).held
    machine.now += 0.5
    assert third.state(NAME).held < held - own / 2
