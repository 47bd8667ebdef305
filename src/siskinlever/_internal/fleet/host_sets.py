"""Which hosts share budgets, limits and callers."""

from __future__ import annotations

import math

from ..models.ids import HostName
from .hosts import HostStatus, HostTable
from .serving_set import ServingView

# The retry budget is divided among at least this many hosts, so that a host that has
# not yet discovered the others does not use their shares.
MIN_BUDGET_HOSTS = 8


def budget_hosts(view: ServingView, hosts: HostTable) -> float:
    """Return the number of hosts among which the extra retries are divided.

    In a large fleet, hosts outside the serving set have no share, and half of the
    budget is left for hosts that replace others, whose shares may be spent.
    """
    if not view.is_large or not view.serving:
        return max(MIN_BUDGET_HOSTS, 1 + len(hosts.by_host))
    return 2 * len(view.serving) if view.is_serving else math.inf


def sending_hosts(
    view: ServingView, hosts: HostTable, registered: frozenset[HostName]
) -> frozenset[HostName]:
    """Return the hosts among which the limits of runners are divided.

    In a large fleet, these are the hosts of the serving set. In a small one, they
    include the hosts that were lost recently, which may still be sending requests, and
    those that this host has never met, which may be cut off from it.
    """
    if view.is_large and view.serving:
        return frozenset(status.host for status in view.serving)
    return frozenset({view.own_host, *hosts.by_host}) | registered


def serving_hosts(
    view: ServingView, hosts: HostTable, own: HostStatus
) -> list[HostName]:
    """Return the live hosts that serve callers, with this one if it is one of them."""
    others = [status.host for status in other_servers(view, hosts)]
    is_serving = own.serving and (view.is_serving or not view.is_large)
    return [*others, own.host] if is_serving else others


def other_servers(view: ServingView, hosts: HostTable) -> list[HostStatus]:
    """Return the other live hosts that serve callers."""
    if view.is_large:
        return [status for status in view.serving if status.host != view.own_host]
    return [known.status for known in hosts.alive() if known.status.serving]
