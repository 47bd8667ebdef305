"""Which sends of one generation draw on the budget for retries.

Answers engines that reject prompts: a rejected prefill is an arrival like any
other, so the decode that follows it is a retry. Only the first prefill that an
engine accepts does not count.
"""

from __future__ import annotations

from collections.abc import Callable


class RetryAccounting:
    """The sends of one generation.

    Parameters
    ----------
    spend : callable
        Takes one send from the budget; returns False if none is left.
    """

    def __init__(self, spend: Callable[[], bool]) -> None:
        self._spend = spend
        self._has_arrived = False
        self._is_charged = False
        self._is_exemption_used = False

    @property
    def is_prefill_exempt(self) -> bool:
        """Whether a prefill takes no retry, if an engine accepts it."""
        return not self._has_arrived and not self._is_exemption_used

    def charge_next(self) -> bool:
        """Take the next send, if it is not the first, from the budget.

        Returns
        -------
        taken : bool
            False if the budget is spent. What was taken lasts until a send has
            arrived, so it may be asked for more than once.
        """
        if self._has_arrived and not self._is_charged:
            self._is_charged = self._spend()
        return self._is_charged or not self._has_arrived

    def note_arrival(self) -> None:
        """Count a send that reached an engine, or may have."""
        self._has_arrived = True
        self._is_charged = False

    def note_prefilled(self) -> None:
        """Note that an engine accepted the one prefill that does not count."""
        self._is_exemption_used = True
