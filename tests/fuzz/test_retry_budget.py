"""Hosts that start again, come and go never exceed the fleet's retry budget."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from siskinlever._internal.dispatch.retry_budget import SharedRetryBudget
from siskinlever._internal.models.host_settings import RetryBounds

BOUNDS = RetryBounds(share=0.2, extra=56, window_s=10.0)
SERVICE = "critique-models"
FIRST_HOSTS = 8
MOST_HOSTS = 12
# Hosts know a host that is gone for longer than a window.
FORGET_S = 30.0
hosts = st.integers(0, MOST_HOSTS - 1)


class RetryBudgets(RuleBasedStateMachine):
    """Every runner refuses: each host spends all that it may, at any moment."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.requests: list[float] = []
        self.spent: list[float] = []
        self.gone_at: dict[int, float] = {}
        self.budgets = {n: self._budget(True) for n in range(FIRST_HOSTS)}

    def _budget(self, is_first_start: bool) -> SharedRetryBudget:
        return SharedRetryBudget(
            BOUNDS, self._known_hosts, is_first_start, lambda: self.now
        )

    def _known_hosts(self) -> int:
        forgotten = {h for h, at in self.gone_at.items() if self.now - at > FORGET_S}
        known = self.budgets.keys() | (self.gone_at.keys() - forgotten)
        return max(FIRST_HOSTS, len(known))

    @rule(host=hosts, number=st.integers(1, 40))
    def requests_arrive(self, host, number):
        if host in self.budgets:
            for _ in range(number):
                self.budgets[host].note_request(SERVICE)
                self.requests.append(self.now)

    @rule()
    def all_spend_what_they_may(self):
        for budget in self.budgets.values():
            while budget.spend(SERVICE):
                self.spent.append(self.now)

    @rule()
    def all_hosts_are_killed_and_start_again(self):
        for host in self.budgets:
            self.budgets[host] = self._budget(False)

    @rule(host=hosts)
    def host_starts(self, host):
        self.gone_at.pop(host, None)
        self.budgets[host] = self._budget(False)

    @rule(host=hosts)
    def host_is_gone_for_good(self, host):
        if len(self.budgets) > 1 and self.budgets.pop(host, None) is not None:
            self.gone_at[host] = self.now

    @rule(seconds=st.sampled_from([0.1, 1.0, 4.0, 9.9, 15.0]))
    def time_passes(self, seconds):
        self.now += seconds

    @invariant()
    def no_window_exceeds_the_budget(self):
        since = self.now - BOUNDS.window_s
        spent = sum(at > since for at in self.spent)
        requests = sum(at > since for at in self.requests)
        assert spent <= BOUNDS.share * requests + BOUNDS.extra


TestRetryBudgets = RetryBudgets.TestCase
