"""What a pool is asked for, and what it granted."""

from __future__ import annotations

from dataclasses import dataclass

from ..models.declaration import Model, Urgency
from ..models.ids import HostName, Incarnation, RequestId, ReservationId


@dataclass(frozen=True, slots=True)
class ReservationRequest:
    """A request that asks a pool for room.

    Parameters
    ----------
    due : float
        Moment of the monotonic clock at which the first token is due.
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
    """A wish that was granted.

    Parameters
    ----------
    decode_started_at : float or None
        When the decode began, by prediction, once the prefill has ended.
    """

    requested: ReservationRequest
    prefill_runner: str
    decode_runner: str
    prefill_ended: bool = False
    decode_started_at: float | None = None


@dataclass(frozen=True, slots=True)
class Cost:
    """What a wish takes, by prediction.

    Parameters
    ----------
    prefill_s, transfer_s, decode_s : float
        Time of a prefill runner, of the link, and of a decode slot, which is
        held during the transfer too.
    """

    prefill_s: float
    transfer_s: float
    decode_s: float

    @property
    def hold_s(self) -> float:
        return self.transfer_s + self.decode_s
