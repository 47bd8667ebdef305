"""Placement policies of the hosts that the simulation compares."""

from __future__ import annotations

from dataclasses import dataclass

from siskinlever._internal.fleet.load_updates import PERIOD_S


@dataclass(frozen=True, slots=True)
class Policy:
    """A variant of the hosts' placement decisions.

    Parameters
    ----------
    name : str
    description : str
    load_update_period_s : float
        Seconds between updates of the load that the other hosts cause; infinite for
        no updates.
    reserves : bool
        Whether capacity is reserved on a decode engine before the prompt is
        prefilled.
    shares_queue : bool
        Whether all hosts share one wait queue without delay. This is not feasible in
        practice and serves as an upper bound.
    """

    name: str
    description: str
    load_update_period_s: float = PERIOD_S
    reserves: bool = True
    shares_queue: bool = False


POLICIES = (
    Policy("told-at-once", "the current version"),
    Policy(
        "told-each-second",
        "the previous version: load is sent with the regular exchange",
        load_update_period_s=0.7,
    ),
    Policy(
        "one-line", "an upper bound: one wait queue for all hosts", shares_queue=True
    ),
    Policy(
        "naive",
        "no reservation, no wait queue, only the host's own load",
        load_update_period_s=float("inf"),
        reserves=False,
    ),
)
POLICY_BY_NAME = {policy.name: policy for policy in POLICIES}
