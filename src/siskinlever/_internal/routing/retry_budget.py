"""Limits retries to a small share of the requests."""

from __future__ import annotations

RETRY_SHARE = 0.1
MAX_BALANCE = 10.0


class RetryBudget:
    """Allows retries in proportion to first attempts.

    If all requests fail, retries add at most `RETRY_SHARE` to the load. The
    saved balance of at most `MAX_BALANCE` retries covers a short outage.
    """

    def __init__(self) -> None:
        self._balance = MAX_BALANCE

    def earn(self) -> None:
        """Credit the budget for a first attempt."""
        self._balance = min(self._balance + RETRY_SHARE, MAX_BALANCE)

    def spend(self) -> bool:
        """Charge one retry; return False if the budget is exhausted."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True
