"""Conversion between members and their messages."""

from __future__ import annotations

from ..models.ids import HostName, Incarnation
from ..peers import peer_pb2
from .members import Member, MemberState


def to_message(member: Member) -> peer_pb2.Member:
    """Return the message of a member."""
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


def from_message(message: peer_pb2.Member) -> Member:
    """Return the member of a message."""
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
