"""The variants of the hosts' decisions that the model compares."""

from __future__ import annotations

from dataclasses import dataclass

from siskinlever._internal.fleet.load_updates import PERIOD_S


@dataclass(frozen=True, slots=True)
class Policy:
    """A variant of the hosts' decisions.

    Parameters
    ----------
    name : str
    description : str
    news_period_s : float
        How old a host's knowledge of the others' work may be.
    reserves : bool
        Room is reserved at a decode engine before the prompt is read.
    one_line : bool
        All hosts know at once who waits anywhere: no design, but a bound.
    """

    name: str
    description: str
    load_update_period_s: float = PERIOD_S
    reserves: bool = True
    shares_queue: bool = False


POLICIES = (
    Policy("told-at-once", "as it runs"),
    Policy(
        "told-each-second",
        "the version before: work is told in the regular exchange",
        load_update_period_s=0.7,
    ),
    Policy("one-line", "a bound: one line for all hosts", shares_queue=True),
    Policy(
        "naive",
        "no reservation, no line, own work only",
        load_update_period_s=float("inf"),
        reserves=False,
    ),
)
POLICY_BY_NAME = {policy.name: policy for policy in POLICIES}
