"""Decides which sends of one generation are charged to the retry budget.

A prefill that an engine rejects is counted like any other send, so the decode
that follows it is a retry. Otherwise engines that reject prompts would cause
sends that the budget does not cover. Only the first prefill that an engine
accepts is exempt.
"""

from __future__ import annotations

from collections.abc import Callable


class RetryAccounting:
    """Charges the sends of one generation to the retry budget.

    Parameters
    ----------
    spend : callable
        Charges one send to the budget; returns False if the budget is exhausted.
    """

    def __init__(self, spend: Callable[[], bool]) -> None:
        self._spend = spend
        self._has_arrived = False
        self._is_charged = False
        self._is_exemption_used = False

    @property
    def is_prefill_exempt(self) -> bool:
        """Whether the next prefill is exempt if an engine accepts it."""
        return not self._has_arrived and not self._is_exemption_used

    def charge_next(self) -> bool:
        """Charge the next send to the budget unless it is the first.

        A charge stays valid until a send has arrived, so repeated calls before
        that charge the budget only once.

        Returns
        -------
        is_allowed : bool
            False if the budget is exhausted.
        """
        if self._has_arrived and not self._is_charged:
            self._is_charged = self._spend()
        return self._is_charged or not self._has_arrived

    def note_arrival(self) -> None:
        """Record a send that reached, or may have reached, an engine."""
        self._has_arrived = True
        self._is_charged = False

    def note_prefilled(self) -> None:
        """Record that an engine accepted the one exempt prefill."""
        self._is_exemption_used = True
