"""Requests for reservations, granted reservations and their predicted cost."""

from __future__ import annotations

from dataclasses import dataclass

from ..models.declaration import Model, Urgency
from ..models.ids import HostName, Incarnation, RequestId, ReservationId


@dataclass(frozen=True, slots=True)
class ReservationRequest:
    """A request for a prefill and a decode slot of a pool.

    Parameters
    ----------
    due : float
        When the first token is due, in seconds of the monotonic clock.
    excluded_runners : frozenset of str
        Names of runners that must not be used.
    """

    reservation_id: ReservationId
    request_id: RequestId
    host: HostName
    incarnation: Incarnation
    model: Model
    prompt_tokens: int
    max_tokens: int
    prefix_hashes: tuple[int, ...]
    due: float
    excluded_runners: frozenset[str] = frozenset()

    @property
    def deferrable(self) -> bool:
        return self.model.urgency is Urgency.DEFERRABLE


@dataclass(slots=True)
class GrantedReservation:
    """A reservation on one prefill and one decode runner, with its progress.

    Parameters
    ----------
    decode_started_at : float or None
        Predicted start of the decode in seconds of the monotonic clock; None
        until the prefill has ended.
    """

    requested: ReservationRequest
    prefill_runner: str
    decode_runner: str
    has_prefill_ended: bool = False
    decode_started_at: float | None = None


@dataclass(frozen=True, slots=True)
class Cost:
    """The predicted resource usage of a request, in seconds.

    Parameters
    ----------
    prefill_s : float
        Use of a prefill runner.
    transfer_s : float
        Transfer of the KV cache; the decode slot is held during it too.
    decode_s : float
        Use of a decode slot after the transfer.
    """

    prefill_s: float
    transfer_s: float
    decode_s: float

    @property
    def hold_s(self) -> float:
        return self.transfer_s + self.decode_s
