"""Components of a running host, and its graceful shutdown."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from absl import logging

from ..callers.app import LOOKUP_LIFETIME_S
from ..callers.forwarding import Forwarder
from ..callers.in_progress import InProgress
from ..configuration.current import CurrentConfiguration
from ..configuration.follower import ConfigurationFollower
from ..configuration.store import ConfigurationStore
from ..membership.detector import Detector
from ..membership.leaving import DeclaredLeaving
from ..membership.members import MemberTable
from ..metrics.registry import Metrics
from ..models.events import EventKind
from ..models.settings import Settings
from ..orders.reconciler import OrderReconciler
from ..requests.draft_recovery import DraftRecovery
from ..requests.drafts import Drafts
from ..requests.execution import Executor
from ..requests.home import RequestHome
from ..requests.service_executor import ServiceExecutor
from ..routing.home import AdmissionHome
from ..timeline.recorder import Recorder
from ..utils.clock import Deadline

DRAIN_POLL_S = 0.05
# Callers use a lookup answer for its lifetime, so requests may arrive that long after
# the host has announced that it is leaving.
LINGER_S = LOOKUP_LIFETIME_S + 1.0


@dataclass(slots=True)
class Host:
    """Components of a running host."""

    settings: Settings
    metrics: Metrics
    recorder: Recorder
    members: MemberTable
    current: CurrentConfiguration
    store: ConfigurationStore
    follower: ConfigurationFollower
    detector: Detector
    executor: Executor
    service_executor: ServiceExecutor
    drafts: Drafts
    draft_recovery: DraftRecovery
    request_home: RequestHome
    admission_home: AdmissionHome
    orders: OrderReconciler
    declared_leaving: DeclaredLeaving
    forwarder: Forwarder
    in_progress: InProgress

    async def drain(self) -> None:
        """Announce that the host is leaving and wait for requests in progress.

        New work is passed to other hosts. The callers' interface stays open while
        the host drains; when it closes, it waits for answers that are still being
        written.
        """
        self.declared_leaving.stopping = True
        self.members.set_leaving(self.members.own_host)
        self.recorder.record(EventKind.HOST_LEAVING)
        logging.info("host leaving requests=%d", self.in_progress.count)
        linger = Deadline(LINGER_S if self._has_peers() else 0.0)
        await self.detector.announce()
        await self.drafts.release_all()
        while self._is_busy() or not linger.passed:
            await asyncio.sleep(DRAIN_POLL_S)

    def _is_busy(self) -> bool:
        return bool(
            self.in_progress.count
            or self.executor.running_by_key
            or self.service_executor.calls_in_progress
        )

    def _has_peers(self) -> bool:
        return any(
            host != self.members.own_host for host in self.members.zone_by_host()
        )
