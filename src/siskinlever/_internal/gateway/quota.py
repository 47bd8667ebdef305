"""Charges requests to the allowances of their workspaces.

A request is checked when it arrives and charged right before its first send that can
start a prefill or a run. Later sends of the same request are not charged. If it ends
and no runner may have run it, the charge is refunded.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from ..platform import wire
from .context import GatewayContext
from .errors import EndedError, over_quota
from .job import Charge, Job


@contextmanager
def quota_checked(context: GatewayContext, job: Job) -> Iterator[None]:
    """Serve a request in the block if its workspace's allowance permits it.

    Raises
    ------
    EndedError
        Raised when the workspace is over its quota.
    """
    workspace = job.workspace
    if workspace is None or workspace.allowance is None:
        yield
        return
    name, ledger = workspace.name, context.allowances.ledger
    job.cost = wire.request_cost(job.request, workspace.allowance)
    if not context.allowances.may_send(name, job.cost):
        raise _refusal(context, job, "on_arrival")
    job.charge = Charge.DUE
    ledger.start_waiting(name, job.cost)
    try:
        yield
    finally:
        if job.charge is Charge.DUE:
            ledger.stop_waiting(name, job.cost)
        elif not job.may_have_run:
            context.metrics.count("quota_refunds")
            job.log_fields["quota_refunded"] = job.cost
            ledger.give_back(name, job.cost)


async def charge_first_send(context: GatewayContext, job: Job) -> None:
    """Charge a request that is about to be sent, unless it has been charged.

    Raises
    ------
    EndedError
        Raised when neither this host nor others have enough left.
    """
    workspace = job.workspace
    if workspace is None or job.charge is not Charge.DUE:
        return
    if not await context.allowances.obtain(workspace.name, job.cost):
        raise _refusal(context, job, "on_send")
    job.charge = Charge.MADE
    context.allowances.ledger.stop_waiting(workspace.name, job.cost)
    context.metrics.count("quota_charges")
    job.log_fields["quota_charged"] = job.cost


def _refusal(context: GatewayContext, job: Job, step: str) -> EndedError:
    assert job.workspace is not None
    name = job.workspace.name
    context.metrics.count("quota_refusals", step=step)
    wait_s = context.allowances.ledger.wait_s(name, job.cost)
    job.log_fields |= {"quota_of": name, "cost": job.cost, "quota_step": step}
    job.log_fields |= context.allowances.details(name)
    return over_quota(name, wait_s)
