"""Which sends of one generation draw on the budget for retries.

Answers engines that reject prompts: a rejected prefill is an arrival like any
other, so the decode that follows it is a retry. Only the first prefill that an
engine accepts does not count.
"""

from __future__ import annotations

from collections.abc import Callable


class CountedSends:
    """The sends of one generation.

    Parameters
    ----------
    spend : callable
        Takes one send from the budget; returns False if none is left.
    """

    def __init__(self, spend: Callable[[], bool]) -> None:
        self._spend = spend
        self._has_arrived = False
        self._is_paid = False
        self._has_prefilled = False

    @property
    def is_first(self) -> bool:
        """Whether nothing that counts has been sent yet."""
        return not self._has_arrived

    def may_send(self) -> bool:
        """Take the next send, if it is not the first, from the budget.

        What was taken lasts until a send has arrived.
        """
        if not self.is_first and not self._is_paid:
            self._is_paid = self._spend()
        return self.is_first or self._is_paid

    def note_arrival(self) -> None:
        """Count a send that reached an engine, or may have."""
        self._has_arrived = True
        self._is_paid = False

    def note_prefilled(self) -> None:
        """Count a prefill that an engine accepted, unless it is the first."""
        if self._has_prefilled:
            self.note_arrival()
        self._has_prefilled = True
