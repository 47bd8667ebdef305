"""What is asked of the router, and where it is placed."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Protocol

from ..utils.clock import Deadline
from .declaration import Model, Runner
from .ids import Attempt, RequestId, ReservationId, WorkspaceName


class TrackedRequest(Protocol):
    """A request whose attempts its home keeps count of."""

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
        Named by the caller, or generated.
    model : Model
    prompt : str
    max_tokens : int
    sampling : dict
        Further parameters, passed to the engine unchanged.
    body_digest : str
        Digest of the request, to tell a repeated one from another.
    arrived : Deadline
        When the first token is due.
    resume_after : int or None
        Index of the last chunk that the caller already holds.
    generated_id : bool
        Whether the caller named no id, so that no other attempt exists.
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
        """Name of the request among all workspaces."""
        return f"{self.workspace}/{self.request_id}"


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A wish for one prefill and one decode slot.

    Parameters
    ----------
    reservation_id : str
    request_id : str
    model : Model
    prompt_tokens, max_tokens : int
        Estimate of the prompt, and the most that the answer may have.
    prefix_hashes : tuple of int
        Hashes of the prompt's prefixes, the shortest first.
    first_token_due : Deadline
    excluded_runners : frozenset of str
        Runners that failed this request before.
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
    """The runners that a request was placed on."""

    reservation_id: ReservationId
    prefill: Runner
    decode: Runner


@dataclass(frozen=True, slots=True)
class AttemptKey:
    """One attempt at one request."""

    workspace: WorkspaceName
    request_id: RequestId
    attempt: Attempt
