"""Conversion between peer messages and the admission types."""

from __future__ import annotations

from ..models.declaration import Model
from ..models.ids import HostName, Incarnation, RequestId, ReservationId
from ..models.outcome import Refused
from ..peers import peer_pb2
from ..utils.clock import MS_PER_S
from .reservations import GrantedReservation, ReservationRequest


def parse_request(
    request: peer_pb2.ReserveRequest, model: Model, now: float
) -> ReservationRequest:
    """Return the reservation request in a message.

    Parameters
    ----------
    now : float
        Time of receipt in seconds of the monotonic clock; the message states
        the first-token target relative to it.
    """
    return ReservationRequest(
        reservation_id=ReservationId(request.reservation_id),
        request_id=RequestId(request.request_id),
        host=HostName(request.host),
        incarnation=Incarnation(request.incarnation),
        model=model,
        prompt_tokens=request.prompt_tokens,
        max_tokens=request.max_tokens,
        prefix_hashes=tuple(request.prefix_hashes),
        due=now + request.first_token_due_ms / MS_PER_S,
        excluded_runners=frozenset(request.excluded_runners),
    )


def parse_held(
    request: peer_pb2.AnnounceRequest, held: peer_pb2.Held, model: Model, now: float
) -> GrantedReservation:
    """Return a reservation that a host announces as held.

    The announcement has no prefix hashes and no target, so `prefix_hashes` is empty
    and the request is due at ``now``, in seconds of the monotonic clock.
    """
    requested = ReservationRequest(
        reservation_id=ReservationId(held.reservation_id),
        request_id=RequestId(held.request_id),
        host=HostName(request.host),
        incarnation=Incarnation(request.incarnation),
        model=model,
        prompt_tokens=held.prompt_tokens,
        max_tokens=held.max_tokens,
        prefix_hashes=(),
        due=now,
    )
    return GrantedReservation(
        requested, held.prefill_runner, held.decode_runner, held.prefill_ended
    )


def refusal(refused: Refused) -> peer_pb2.ReserveReply:
    """Return the reply that refuses a reservation."""
    return peer_pb2.ReserveReply(
        decision=peer_pb2.REFUSED,
        reason=refused.reason.value,
        retry_after_ms=int(refused.retry_after_s * MS_PER_S),
    )
