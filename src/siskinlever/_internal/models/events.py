"""Events of the timeline."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class EventKind(Enum):
    """Kind of a timeline event."""

    HOST_STARTED = "host_started"
    HOST_LEAVING = "host_leaving"
    HOST_STOPPED = "host_stopped"
    PAUSED = "paused"
    MEMBER_CHANGED = "member_changed"
    APPLY_STARTED = "apply_started"
    APPLY_ACCEPTED = "apply_accepted"
    CONFIGURATION_IN_FORCE = "configuration_in_force"
    REQUEST_ACCEPTED = "request_accepted"
    REQUEST_ENDED = "request_ended"
    RESERVED = "reserved"
    PREFILL_STARTED = "prefill_started"
    PREFILL_ENDED = "prefill_ended"
    DECODE_STARTED = "decode_started"
    FIRST_TOKEN = "first_token"
    CANCELLED = "cancelled"
    TAKEN_OVER = "taken_over"
    CLAIMED = "claimed"
    DRAFT_STORED = "draft_stored"
    DRAFT_RESULT = "draft_result"
    ORDERS_HELD = "orders_held"
    ORDER_SENT = "order_sent"
    STORE_STATE = "store_state"


@dataclass(frozen=True, slots=True)
class Stamp:
    """A hybrid logical timestamp: wall clock in milliseconds, then a counter."""

    wall_ms: int
    counter: int


@dataclass(frozen=True, slots=True)
class Event:
    """One event that occurred at one host."""

    stamp: Stamp
    host: str
    kind: EventKind
    request_id: str = ""
    fields: dict[str, str | int | float] = field(default_factory=dict)
