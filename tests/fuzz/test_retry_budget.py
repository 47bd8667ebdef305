"""Hosts that restart, join and leave never exceed the fleet's retry budget."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from siskinlever._internal.dispatch.retry_budget import SharedRetryBudget
from siskinlever._internal.models.host_settings import RetryBounds

BOUNDS = RetryBounds(share=0.2, extra=56, window_s=10.0)
SERVICE = "critique-models"
INITIAL_HOSTS = 8
MAX_HOSTS = 12
# Seconds for which hosts still count a removed host; longer than the window.
HOST_RETENTION_S = 30.0
HOST_NUMBERS = st.integers(0, MAX_HOSTS - 1)


class RetryBudgets(RuleBasedStateMachine):
    """Every runner refuses all requests, so each host may use its share at any time."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.requests: list[float] = []
        self.spent: list[float] = []
        self.removed_at: dict[int, float] = {}
        self.budgets = {n: self._budget(True) for n in range(INITIAL_HOSTS)}

    def _budget(self, is_first_start: bool) -> SharedRetryBudget:
        return SharedRetryBudget(
            BOUNDS, self._known_hosts, is_first_start, lambda: self.now
        )

    def _known_hosts(self) -> int:
        expired = {
            h for h, at in self.removed_at.items() if self.now - at > HOST_RETENTION_S
        }
        known = self.budgets.keys() | (self.removed_at.keys() - expired)
        return max(INITIAL_HOSTS, len(known))

    @rule(host=HOST_NUMBERS, number=st.integers(1, 40))
    def requests_arrive(self, host, number):
        if host in self.budgets:
            for _ in range(number):
                self.budgets[host].note_request(SERVICE)
                self.requests.append(self.now)

    @rule()
    def all_hosts_exhaust_their_share(self):
        for budget in self.budgets.values():
            while budget.spend(SERVICE):
                self.spent.append(self.now)

    @rule()
    def all_hosts_are_killed_and_restart(self):
        for host in self.budgets:
            self.budgets[host] = self._budget(False)

    @rule(host=HOST_NUMBERS)
    def host_starts(self, host):
        self.removed_at.pop(host, None)
        self.budgets[host] = self._budget(False)

    @rule(host=HOST_NUMBERS)
    def host_is_removed(self, host):
        if len(self.budgets) > 1 and self.budgets.pop(host, None) is not None:
            self.removed_at[host] = self.now

    @rule(seconds=st.sampled_from([0.1, 1.0, 4.0, 9.9, 15.0]))
    def advance_time(self, seconds):
        self.now += seconds

    @invariant()
    def no_window_exceeds_the_budget(self):
        since = self.now - BOUNDS.window_s
        spent = sum(at > since for at in self.spent)
        requests = sum(at > since for at in self.requests)
        assert spent <= BOUNDS.share * requests + BOUNDS.extra


TestRetryBudgets = RetryBudgets.TestCase
