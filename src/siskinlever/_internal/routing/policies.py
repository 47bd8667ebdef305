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
class PlacementDependencies:
    """Components from which policies are constructed."""

    current: CurrentConfiguration
    members: MemberTable
    peers: Peers
    engines: Engines
    admission: AdmissionHome
    recorder: Recorder
    metrics: Metrics
    tasks: TaskSet


def _reserving(dependencies: PlacementDependencies) -> Placement:
    return ReservingPlacement(
        dependencies.current,
        dependencies.members,
        dependencies.peers,
        dependencies.admission,
        dependencies.recorder,
        dependencies.metrics,
        dependencies.tasks,
    )


def _naive(dependencies: PlacementDependencies) -> Placement:
    return NaivePlacement(dependencies.current, _reports(dependencies))


def _bounded(dependencies: PlacementDependencies) -> Placement:
    return BoundedPlacement(dependencies.current, _reports(dependencies))


def _reports(dependencies: PlacementDependencies) -> LoadReports:
    reports = LoadReports(dependencies.current, dependencies.engines)
    dependencies.tasks.start(reports.run(), "load-reports")
    return reports


PLACEMENT_BY_POLICY: dict[Policy, Callable[[PlacementDependencies], Placement]] = {
    Policy.SISKINLEVER: _reserving,
    Policy.NAIVE: _naive,
    Policy.BOUNDED: _bounded,
}
