"""The policies that a host's settings can name."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..configuration.current import CurrentConfiguration
from ..engines.registry import Engines
from ..membership.members import MemberTable
from ..metrics.registry import Metrics
from ..models.settings import Policy
from ..peers.link import Peers
from ..timeline.recorder import Recorder
from ..utils.tasks import TaskSet
from .bounded import BoundedPlacement
from .home import AdmissionHome
from .naive import NaivePlacement
from .placement import Placement
from .reports import LoadReports
from .reserving import ReservingPlacement


@dataclass(frozen=True, slots=True)
class PlacementParts:
    """What policies are made of."""

    current: CurrentConfiguration
    members: MemberTable
    peers: Peers
    engines: Engines
    admission: AdmissionHome
    recorder: Recorder
    metrics: Metrics
    tasks: TaskSet


def _reserving(parts: PlacementParts) -> Placement:
    return ReservingPlacement(
        parts.current,
        parts.members,
        parts.peers,
        parts.admission,
        parts.recorder,
        parts.metrics,
        parts.tasks,
    )


def _naive(parts: PlacementParts) -> Placement:
    return NaivePlacement(parts.current, _reports(parts))


def _bounded(parts: PlacementParts) -> Placement:
    return BoundedPlacement(parts.current, _reports(parts))


def _reports(parts: PlacementParts) -> LoadReports:
    reports = LoadReports(parts.current, parts.engines)
    parts.tasks.start(reports.run(), "load-reports")
    return reports


PLACEMENT_BY_POLICY: dict[Policy, Callable[[PlacementParts], Placement]] = {
    Policy.SISKINLEVER: _reserving,
    Policy.NAIVE: _naive,
    Policy.BOUNDED: _bounded,
}
