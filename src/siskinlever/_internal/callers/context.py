"""What the routes of the callers' interface need of their host."""

from __future__ import annotations

from dataclasses import dataclass

from sanic import Request

from ..configuration.current import CurrentConfiguration
from ..membership.members import MemberTable
from ..metrics.registry import Metrics
from ..requests.deliveries import Deliveries
from ..requests.drafts import Drafts
from ..requests.execution import Executor
from .access import Access
from .forwarding import Forwarder
from .in_progress import InProgress, Receiving


@dataclass(frozen=True, slots=True)
class CallerContext:
    """The parts of the host that the routes use."""

    current: CurrentConfiguration
    members: MemberTable
    executor: Executor
    deliveries: Deliveries
    drafts: Drafts
    access: Access
    forwarder: Forwarder
    in_progress: InProgress
    receiving: Receiving
    metrics: Metrics


def host_of(request: Request) -> CallerContext:
    """Return the parts of the host that serves a request."""
    context = request.app.ctx.host
    assert isinstance(context, CallerContext)
    return context
