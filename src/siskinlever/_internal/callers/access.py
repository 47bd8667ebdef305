"""Authentication of callers and the limits of each workspace."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from expression import Error, Ok, Result

from ..configuration.current import CurrentConfiguration
from ..models.declaration import Declaration, Workspace
from ..models.ids import WorkspaceName
from ..models.outcome import Reason, Refused
from ..utils.clock import monotonic
from ..utils.digests import key_digest

CONCURRENT_RETRY_S = 0.5


@dataclass(slots=True)
class _TokenBucket:
    tokens: float
    refilled_at: float


class AccessControl:
    """Looks up the workspace of a key and enforces its limits at this host.

    The limits of a workspace apply per host: hosts share no counters.
    """

    def __init__(self, current: CurrentConfiguration) -> None:
        self._current = current
        self._bucket_by_workspace: dict[WorkspaceName, _TokenBucket] = {}
        self._running_by_workspace: Counter[WorkspaceName] = Counter()

    def workspace(self, declaration: Declaration, header: str) -> Workspace | None:
        """Return the workspace whose key an Authorization header contains."""
        scheme, _, key = header.partition(" ")
        # Bytes that are not valid UTF-8 arrive as lone surrogates, which cannot be
        # encoded for the digest.
        if scheme.lower() != "bearer" or not key or not key.isascii():
            return None
        return declaration.workspace_by_key_digest.get(key_digest(key.strip()))

    @contextmanager
    def admitted(self, workspace: Workspace) -> Iterator[Result[None, Refused]]:
        """Count a request against its workspace's limits while the block runs.

        Yields an `Error` with the refusal if the workspace is at one of its limits.
        """
        name = WorkspaceName(workspace.name)
        refused = self._refusal(workspace, name)
        if refused is not None:
            yield Error(refused)
            return
        self._running_by_workspace[name] += 1
        try:
            yield Ok(None)
        finally:
            self._running_by_workspace[name] -= 1

    def _refusal(self, workspace: Workspace, name: WorkspaceName) -> Refused | None:
        limits = workspace.limits
        if self._running_by_workspace[name] >= limits.concurrent:
            return Refused(
                Reason.RATE_LIMITED, CONCURRENT_RETRY_S, "too many requests at once"
            )
        bucket = self._refilled_bucket(workspace, name)
        if bucket.tokens < 1:
            wait_s = (1 - bucket.tokens) / limits.requests_per_s
            return Refused(Reason.RATE_LIMITED, wait_s, "too many requests a second")
        bucket.tokens -= 1
        return None

    def _refilled_bucket(
        self, workspace: Workspace, name: WorkspaceName
    ) -> _TokenBucket:
        limits = workspace.limits
        now = monotonic()
        bucket = self._bucket_by_workspace.setdefault(
            name, _TokenBucket(limits.burst, now)
        )
        refill = (now - bucket.refilled_at) * limits.requests_per_s
        bucket.tokens = min(limits.burst, bucket.tokens + refill)
        bucket.refilled_at = now
        return bucket
