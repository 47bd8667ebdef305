"""Keeps second tries to a small share of the requests."""

from __future__ import annotations

RETRY_SHARE = 0.1
MOST_SAVED = 10.0


class RetryBudget:
    """Earns a part of a retry with each request."""

    def __init__(self) -> None:
        self._saved = MOST_SAVED

    def earn(self) -> None:
        """Count a first try."""
        self._saved = min(MOST_SAVED, self._saved + RETRY_SHARE)

    def spend(self) -> bool:
        """Take one retry out of the budget; tell whether there was one."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
