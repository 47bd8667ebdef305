"""Conversion between members and their protobuf messages."""

from __future__ import annotations

import re

from ..models.addresses import ADDRESS_PATTERN, NAME_PATTERN
from ..models.ids import HostName, Incarnation
from ..peers import peer_pb2
from .members import Member, MemberState

NAME = re.compile(NAME_PATTERN)
ADDRESS = re.compile(ADDRESS_PATTERN)
MAX_ZONE_CHARACTERS = 63
STATES = frozenset(int(state) for state in MemberState)
# Unix milliseconds in the year 2500; leaves room for the increments of refutations.
MAX_INCARNATION = 16_725_225_600_000


def to_message(member: Member) -> peer_pb2.Member:
    """Convert a member to its message."""
    return peer_pb2.Member(
        host=member.host,
        zone=member.zone,
        incarnation=member.incarnation,
        state=int(member.state),  # type: ignore[arg-type]
        peer_address=member.peer_address,
        callers_address=member.callers_address,
        leaving=member.leaving,
        started=member.started,
    )


def from_message(message: peer_pb2.Member) -> Member | None:
    """Convert a message to a member; return None if it is not valid."""
    if not _is_valid(message):
        return None
    return Member(
        host=HostName(message.host),
        zone=message.zone,
        incarnation=Incarnation(message.incarnation),
        state=MemberState(int(message.state)),
        peer_address=message.peer_address,
        callers_address=message.callers_address,
        leaving=message.leaving,
        started=Incarnation(message.started),
    )


def _is_valid(message: peer_pb2.Member) -> bool:
    return (
        NAME.match(message.host) is not None
        and len(message.zone) <= MAX_ZONE_CHARACTERS
        and ADDRESS.match(message.peer_address) is not None
        and ADDRESS.match(message.callers_address) is not None
        and 0 < message.incarnation < MAX_INCARNATION
        and int(message.state) in STATES
    )
