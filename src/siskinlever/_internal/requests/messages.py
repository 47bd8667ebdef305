"""Converts entries and engine handles to and from protobuf messages."""

from __future__ import annotations

from collections.abc import Iterable

from ..models.ids import Attempt, HostName, Incarnation
from ..peers import peer_pb2
from .attempts import AttemptState, Entry, GenerationHandle

PROTO_BY_STATE = {
    AttemptState.RUNNING: peer_pb2.RUNNING,
    AttemptState.ENDED: peer_pb2.ENDED,
    AttemptState.ANSWERED: peer_pb2.ANSWERED,
}
STATE_BY_PROTO = {value: state for state, value in PROTO_BY_STATE.items()}


def request_key(workspace: str, request_id: str) -> str:
    """Return a request's key, which is unique among all workspaces."""
    return f"{workspace}/{request_id}"


def to_handles(handles: Iterable[GenerationHandle]) -> list[peer_pb2.Handle]:
    return [
        peer_pb2.Handle(
            runner=h.runner,
            address=h.address,
            engine_request_id=h.engine_request_id,
        )
        for h in handles
    ]


def from_handles(messages: Iterable[peer_pb2.Handle]) -> tuple[GenerationHandle, ...]:
    return tuple(
        GenerationHandle(m.runner, m.address, m.engine_request_id) for m in messages
    )


def to_message(key: str, entry: Entry) -> peer_pb2.Entry:
    workspace, _, request_id = key.partition("/")
    return peer_pb2.Entry(
        workspace=workspace,
        request_id=request_id,
        host=entry.host,
        incarnation=entry.incarnation,
        attempt=entry.attempt,
        nonce=entry.nonce,
        body_digest=entry.body_digest,
        state=PROTO_BY_STATE[entry.state],
        handles=to_handles(entry.handles),
        ran=entry.ran,
    )


def from_message(message: peer_pb2.Entry) -> tuple[str, Entry]:
    """Return the request's key and its entry."""
    entry = Entry(
        host=HostName(message.host),
        incarnation=Incarnation(message.incarnation),
        attempt=Attempt(message.attempt),
        nonce=message.nonce,
        body_digest=message.body_digest,
        state=STATE_BY_PROTO[message.state],
        handles=from_handles(message.handles),
        ran=message.ran,
    )
    return request_key(message.workspace, message.request_id), entry
