"""Outcomes of requests (`--settings`)."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Outcome(Enum):
    """Outcome of a request, the ``outcome`` field of the reply."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"


class Reason(Enum):
    """Why a request was not answered, the ``code`` field of the reply."""

    OVERLOADED = "overloaded"
    TOO_LATE = "too_late"
    TOO_LARGE = "too_large"
    NO_RUNNER = "no_runner"
    NO_CONFIGURATION = "no_configuration"
    STALE_CONFIGURATION = "stale_configuration"
    STORE_UNAVAILABLE = "store_unavailable"
    RATE_LIMITED = "rate_limited"
    HOST_LEAVING = "host_leaving"
    DUPLICATE = "duplicate"
    TAKEN_OVER = "taken_over"
    ALREADY_ANSWERED = "already_answered"
    NOT_RESUMABLE = "not_resumable"
    CLAIM_EXISTS = "claim_exists"
    ENGINE_FAILED = "engine_failed"
    SERVICE_FAILED = "service_failed"
    CALLER_GONE = "caller_gone"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class Refused:
    """Result of a request that is known not to have run.

    Parameters
    ----------
    reason : Reason
    retry_after_s : float
        Seconds after which the caller should retry.
    message : str
    """

    reason: Reason
    retry_after_s: float
    message: str

    outcome = Outcome.NOT_RUN


@dataclass(frozen=True, slots=True)
class Failed:
    """Result of a request that ran, or may have run, without an answer.

    Parameters
    ----------
    reason : Reason
    message : str
    retry_after_s : float
        Seconds after which an idempotent request may be retried.
    """

    reason: Reason
    message: str
    retry_after_s: float = 1.0

    @property
    def outcome(self) -> Outcome:
        """`Outcome.ANSWERED` if an earlier attempt was answered."""
        if self.reason is Reason.ALREADY_ANSWERED:
            return Outcome.ANSWERED
        return Outcome.MAY_HAVE_RUN


@dataclass(frozen=True, slots=True)
class Answered:
    """Result of a request whose complete answer was passed to its caller.

    Parameters
    ----------
    text : str
    prompt_tokens : int
    completion_tokens : int
    """

    text: str
    prompt_tokens: int
    completion_tokens: int

    outcome = Outcome.ANSWERED


def as_may_have_run(failure: Refused | Failed) -> Failed:
    """Return the failure as one of a request that may have run.

    Use it if the request may have run, because `Refused` states that it has not.
    """
    if isinstance(failure, Failed):
        return failure
    return Failed(failure.reason, failure.message, failure.retry_after_s)


RequestResult = Answered | Refused | Failed
