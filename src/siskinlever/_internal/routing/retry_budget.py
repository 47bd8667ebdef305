"""A budget for retries: a small share of the requests."""

from __future__ import annotations

RETRY_SHARE = 0.1
MAX_BALANCE = 10.0


class RetryBudget:
    """Lets retries happen in proportion to first tries.

    Under a failure of everything, retries add at most `RETRY_SHARE` to the
    load; a short failure is covered by the balance that was saved.
    """

    def __init__(self) -> None:
        self._balance = MAX_BALANCE

    def earn(self) -> None:
        """Note a first try."""
        self._balance = min(self._balance + RETRY_SHARE, MAX_BALANCE)

    def spend(self) -> bool:
        """Take one retry; False if the budget is spent."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True
