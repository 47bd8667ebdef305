"""Components of the host that the routes of the callers' interface use."""

from __future__ import annotations

from dataclasses import dataclass

from sanic import Request

from ..configuration.current import CurrentConfiguration
from ..membership.members import MemberTable
from ..metrics.registry import Metrics
from ..requests.drafts import Drafts
from ..requests.execution import Executor
from ..requests.service_executor import ServiceExecutor
from .access import AccessControl
from .forwarding import Forwarder
from .in_progress import InProgress, ReceiveBudget


@dataclass(frozen=True, slots=True)
class CallerContext:
    """The components of the host that the routes use."""

    current: CurrentConfiguration
    members: MemberTable
    executor: Executor
    service_executor: ServiceExecutor
    drafts: Drafts
    access: AccessControl
    forwarder: Forwarder
    in_progress: InProgress
    receive_budget: ReceiveBudget
    metrics: Metrics


def host_of(request: Request) -> CallerContext:
    """Return the components of the host that serves a request."""
    context = request.app.ctx.host
    assert isinstance(context, CallerContext)
    return context
