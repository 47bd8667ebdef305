"""Requests to the router and their placements (`--settings`)."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Protocol

from ..utils.clock import Deadline
from .declaration import Model, Runner
from .ids import Attempt, RequestId, ReservationId, WorkspaceName


class TrackedRequest(Protocol):
    """A request whose attempts are tracked by its home host."""

    @property
    def workspace(self) -> WorkspaceName: ...

    @property
    def request_id(self) -> RequestId: ...

    @property
    def key(self) -> str: ...

    @property
    def body_digest(self) -> str: ...

    @property
    def first_token_due(self) -> Deadline: ...

    @property
    def resume_after(self) -> int | None: ...

    @property
    def generated_id(self) -> bool: ...


@dataclass(frozen=True, slots=True)
class ModelRequest:
    """A caller's request for a model.

    Parameters
    ----------
    workspace : str
    request_id : str
        Chosen by the caller, or generated.
    model : Model
    prompt : str
    max_tokens : int
    sampling : dict
        Further parameters, passed to the engine unchanged.
    body_digest : str
        Digest of the request, which distinguishes a repeated request from a
        different one with the same id.
    first_token_due : Deadline
    resume_after : int or None
        Index of the last chunk that the caller has received.
    generated_id : bool
        Whether the id was generated because the caller chose none, in which
        case no other attempt exists.
    """

    workspace: WorkspaceName
    request_id: RequestId
    model: Model
    prompt: str
    max_tokens: int
    sampling: dict[str, Any]
    body_digest: str
    first_token_due: Deadline
    resume_after: int | None = None
    generated_id: bool = False

    @property
    def key(self) -> str:
        """Identifier of the request, unique across workspaces."""
        return f"{self.workspace}/{self.request_id}"


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A request for one prefill and one decode slot.

    Parameters
    ----------
    reservation_id : str
    request_id : str
    model : Model
    prompt_tokens, max_tokens : int
        Estimated number of prompt tokens, and largest number of answer tokens.
    prefix_hashes : tuple of int
        Hashes of the prompt's prefixes, shortest first.
    first_token_due : Deadline
    excluded_runners : frozenset of str
        Runners at which this request has already failed.
    """

    reservation_id: ReservationId
    request_id: RequestId
    model: Model
    prompt_tokens: int
    max_tokens: int
    prefix_hashes: tuple[int, ...]
    first_token_due: Deadline
    excluded_runners: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Grant:
    """The runners on which a request was placed."""

    reservation_id: ReservationId
    prefill: Runner
    decode: Runner


@dataclass(frozen=True, slots=True)
class AttemptKey:
    """Identifies one attempt of one request."""

    workspace: WorkspaceName
    request_id: RequestId
    attempt: Attempt
