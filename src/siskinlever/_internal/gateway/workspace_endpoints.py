"""What operators see of the workspaces at one host."""

from __future__ import annotations

import json
from collections import Counter

from ..dispatch.authorization import confirmation_at, shown_digest
from ..dispatch.shared_allowance import AllowanceState, SharedAllowance
from ..fleet.configuration import MAX_CONFIRMATION_AGE_S, ConfigurationInForce
from ..models.host_settings import KeyBounds
from ..models.ids import WorkspaceName
from ..models.workspaces import Workspace
from .endpoints import JSON_HEADERS, Answer
from .errors import EndReason

WORKSPACES_PATH = "/workspaces"
# Workspaces whose refusals are counted, the most recently refused ones. More than any
# configuration has; names that are gone make room for new ones.
MAX_WORKSPACES = 8_192


class WorkspaceRefusals:
    """Counts the requests that this host refused, by workspace and cause.

    Requests without a known key count for the workspace "".
    """

    def __init__(self) -> None:
        # Ordered by time of the last refusal.
        self._count_by_workspace: dict[str, Counter[EndReason]] = {}

    def note(self, workspace: Workspace | None, reason: EndReason) -> None:
        """Count a request that ended with an error of this host."""
        name = workspace.name if workspace else ""
        counts = self._count_by_workspace.pop(name, None) or Counter()
        counts[reason] += 1
        self._count_by_workspace[name] = counts
        if len(self._count_by_workspace) > MAX_WORKSPACES:
            del self._count_by_workspace[next(iter(self._count_by_workspace))]

    def by_cause(self, name: str) -> dict[str, int]:
        """Return the numbers of refused requests of a workspace by cause."""
        counts = self._count_by_workspace.get(name, Counter())
        return {reason.value: count for reason, count in counts.items()}


def list_workspaces(
    configuration: ConfigurationInForce,
    bounds: KeyBounds,
    refusals: WorkspaceRefusals,
    ledger: SharedAllowance,
) -> Answer:
    """Answer with the age of the proof, and each workspace's keys, refusals and quota.

    Workspaces without a key are not listed. The quota is null without an allowance, or
    if this host has not used it lately.
    """
    quota_by_name = {state.workspace: _quota(state) for state in ledger.states()}
    current = configuration.current
    by_digest = (current.workspace_by_key_digest if current else None) or {}
    workspace_by_name: dict[WorkspaceName, Workspace] = {
        workspace.name: workspace for workspace in by_digest.values()
    }
    age_s = configuration.proof_age_s
    is_proved = age_s != float("inf")
    document = {
        "version": configuration.version,
        "has_workspaces": configuration.has_workspaces,
        "fails_closed": bounds.fails_closed,
        "proof_age_s": round(age_s, 3) if is_proved else None,
        "confirmation": confirmation_at(age_s, MAX_CONFIRMATION_AGE_S, bounds).value,
        "refusals_without_workspace": refusals.by_cause(""),
        "workspaces": [
            {
                "name": workspace.name,
                "priority": workspace.priority,
                "keys": sorted(map(shown_digest, workspace.key_digests)),
                "refusals": refusals.by_cause(workspace.name),
                "quota": quota_by_name.get(workspace.name),
            }
            for workspace in workspace_by_name.values()
        ],
    }
    return 200, JSON_HEADERS, json.dumps(document).encode()


def _quota(state: AllowanceState) -> dict[str, float | bool]:
    """Return this host's part of a quota, in its unit or units per second."""
    return {
        "demand_per_s": round(state.demand_per_s, 1),
        "own_rate_per_s": round(state.rate_per_s, 1),
        "held": round(state.held, 1),
        "borrowable": round(state.borrowable, 1),
        "is_limited": state.is_limited,
    }
