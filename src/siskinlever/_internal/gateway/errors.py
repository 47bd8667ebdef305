"""How a request ends without a runner's answer."""

from __future__ import annotations

import random
from enum import Enum

from ..exceptions import SiskinleverError

RETRY_JITTER = 0.4
TIMEOUT_RETRY_S = 1.0


class Reason(Enum):
    """Why a request has no runner's answer, as logs and metrics show it."""

    NO_CONFIGURATION = "no_configuration"
    CONFIGURATION_UNCERTAIN = "configuration_uncertain"
    NO_ROUTE = "no_route"
    NO_RUNNER = "no_runner"
    TOO_LARGE = "too_large"
    OVERLOADED = "overloaded"
    NO_RETRY_LEFT = "no_retry_left"
    STOPPING = "stopping"
    REJECTED = "rejected_by_runner"
    FAILED_BY_RUNNER = "failed_by_runner"
    UNREACHABLE = "runner_unreachable"
    BROKEN = "answer_broken"
    FOREIGN = "answer_foreign"
    TIMEOUT = "timeout"
    INTERNAL = "internal"


class EndedError(SiskinleverError):
    """A request ends with an answer of this host's own.

    Parameters
    ----------
    status : int
    reason : Reason
    message : str
    retry_after_s : float or None
        When the caller should come back.
    """

    def __init__(
        self,
        status: int,
        reason: Reason,
        message: str,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message)
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s


def refused(reason: Reason, message: str, retry_after_s: float) -> EndedError:
    """Return the end of a request that was certainly not run.

    The time to return is spread, so that callers do not come back together.
    """
    jitter = random.uniform(1 - RETRY_JITTER, 1 + RETRY_JITTER)
    return EndedError(503, reason, message, retry_after_s * jitter)


def failed(reason: Reason, message: str) -> EndedError:
    """Return the end of a request that ran or may have run."""
    return EndedError(502, reason, message)


def timed_out(may_have_run: bool) -> EndedError:
    """Return the end of a request whose time is over."""
    if may_have_run:
        return EndedError(504, Reason.TIMEOUT, "no answer within the time allowed")
    return refused(
        Reason.TIMEOUT, "not started within the time allowed", TIMEOUT_RETRY_S
    )
