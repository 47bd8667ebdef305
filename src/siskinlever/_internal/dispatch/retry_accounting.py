"""Decides which sends of one generation are charged to the retry budget.

A send is one transmission of the request to an engine, for a prefill or for a
decode. It has arrived unless the connection failed. A decode send after the first
arrival requires a charge.

A prefill is exempt from the budget as long as no send has arrived and no engine
has accepted a prefill; a prefill that follows a failed connection is therefore
exempt, too. An accepted prefill does not count as an arrival, so the first decode
after it is not charged. A prefill that arrives but is rejected is not charged
itself, but the decode after it is: otherwise engines that reject prompts would
cause sends that the budget does not cover.
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
        """Whether a prefill may be sent now without a charge to the budget."""
        return not self._has_arrived and not self._is_exemption_used

    def charge_next(self) -> bool:
        """Charge the next send to the budget if an earlier send has arrived.

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
        """Record a send that reached, or may have reached, an engine.

        An accepted prefill is recorded with `note_prefilled` instead.
        """
        self._has_arrived = True
        self._is_charged = False

    def note_prefilled(self) -> None:
        """Record that an engine accepted the one exempt prefill."""
        self._is_exemption_used = True
