"""Checks the key of a caller's request on arrival and before each send to a runner."""

from __future__ import annotations

import math

from ..dispatch.authorization import Decision, Verdict, decide
from ..exceptions import KeyRefusedError
from ..fleet.configuration import MAX_CONFIRMATION_AGE_S, ConfigurationInForce
from ..metrics.registry import Metrics
from ..models.host_settings import KeyBounds
from ..models.workspaces import CallerIdentity
from ..utils.clock import MS_PER_S
from .errors import EndedError, EndReason, refused, unauthorized
from .job import Job

# Retry-After in seconds while it isn't certain whether a key is valid. A host with a
# path to the store, or to a host that has one, gets a new proof within 1.1 s.
UNCERTAIN_RETRY_S = 0.7
MAX_LOGGED_AGE_S = 1e9
REASON_BY_DECISION = {
    Decision.UNAUTHORIZED: EndReason.UNAUTHORIZED,
    Decision.KEY_UNCERTAIN: EndReason.KEY_UNCERTAIN,
    Decision.PROOF_TOO_OLD: EndReason.PROOF_TOO_OLD,
}
KEY_REASONS = frozenset(REASON_BY_DECISION.values())


def logged_age_s(age_s: float) -> float:
    """Return an age for the log, in whole milliseconds.

    It is rounded up, so that an age over a limit doesn't read as equal to it. An
    infinite age, which has no representation in JSON, becomes a very large one.
    """
    return math.ceil(min(age_s, MAX_LOGGED_AGE_S) * MS_PER_S) / MS_PER_S


class KeyChecks:
    """Applies the decisions of `dispatch.authorization` to requests.

    Parameters
    ----------
    configuration : ConfigurationInForce
    bounds : KeyBounds
    metrics : Metrics
    """

    def __init__(
        self, configuration: ConfigurationInForce, bounds: KeyBounds, metrics: Metrics
    ) -> None:
        self._configuration = configuration
        self._bounds = bounds
        self._metrics = metrics

    def check(self, job: Job) -> None:
        """Set the workspace of a request, or refuse it; raises `EndedError`.

        Nothing is done if the configuration has no workspaces.
        """
        verdict = self._verdict(job)
        if verdict is None:
            return
        job.workspace = verdict.workspace
        name = verdict.workspace.name if verdict.workspace else None
        job.identity = CallerIdentity(name)
        job.log_fields["workspace"] = name or ""
        job.log_fields["key"] = job.credential.shown
        if verdict.decision is Decision.ALLOWED:
            return
        self._metrics.count("keys_refused", cause=verdict.decision.value)
        raise self._refusal(job, verdict)

    def check_before_send(self, job: Job) -> None:
        """Check a request once more when its connection to a runner is open.

        Raises
        ------
        KeyRefusedError
            Raised when the request may not be sent, or its workspace has changed since
            its headers were written.
        """
        identity = job.identity
        try:
            self.check(job)
        except EndedError as error:
            raise KeyRefusedError(error.message) from error
        if job.identity != identity:
            raise KeyRefusedError("the key has changed its workspace")

    def _verdict(self, job: Job) -> Verdict | None:
        current = self._configuration.current
        if current is None or current.workspace_by_key_digest is None:
            return None
        return decide(
            job.credential,
            job.route.public,
            current.workspace_by_key_digest,
            self._configuration.proof_age_s,
            MAX_CONFIRMATION_AGE_S,
            self._bounds,
        )

    def _refusal(self, job: Job, verdict: Verdict) -> EndedError:
        """Return the error for a request, and add the inputs to its log line."""
        age_s = self._configuration.proof_age_s
        job.log_fields["key_state"] = verdict.key.value
        job.log_fields["confirmation"] = verdict.confirmation.value
        job.log_fields["proof_age_s"] = logged_age_s(age_s)
        version = self._configuration.version
        if verdict.decision is Decision.UNAUTHORIZED:
            return unauthorized(f"no workspace of version {version} has this key")
        return refused(
            REASON_BY_DECISION[verdict.decision],
            f"version {version} was not confirmed as the newest recently enough",
            UNCERTAIN_RETRY_S,
        )
