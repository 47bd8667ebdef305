"""Conversion between fleet state and its protobuf messages."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from ..dispatch.runner_limits import RunnerRecord
from ..models.ids import HostName, Incarnation, RunnerName, ServiceName, ZoneName
from ..models.upstreams import Address, RunnerKey, Stage, StartedAt
from ..peers import peer_pb2
from ..stages.switching import StageSwitch
from ..utils.clock import MS_PER_S
from .demand import Demand
from .hosts import HostStatus, HostWork, RunnerLoad
from .runners import KnownRunner

MILLICORES_PER_CORE = 1000
STAGES = frozenset(stage.value for stage in Stage)


def to_host(status: HostStatus) -> peer_pb2.FleetHost:
    """Convert a host's status to its message."""
    return peer_pb2.FleetHost(
        host=status.host,
        zone=status.zone,
        incarnation=status.incarnation,
        callers_address=status.callers_address,
        peers_address=status.peers_address,
        serving=status.serving,
        reads_store=status.reads_store,
        holds_orders=status.holds_orders,
        millicores=int(status.cores * MILLICORES_PER_CORE),
    )


def from_host(host: peer_pb2.FleetHost) -> HostStatus:
    """Convert a message to a host's status."""
    return HostStatus(
        host=HostName(host.host),
        zone=ZoneName(host.zone),
        incarnation=Incarnation(host.incarnation),
        callers_address=Address(host.callers_address),
        peers_address=Address(host.peers_address),
        serving=host.serving,
        reads_store=host.reads_store,
        holds_orders=host.holds_orders,
        cores=host.millicores / MILLICORES_PER_CORE,
    )


def from_state(state: peer_pb2.FleetState) -> HostWork:
    """Convert a message to its sender's work in progress."""
    return HostWork(
        load_by_runner=from_loads(state.loads),
        demand_by_service={
            ServiceName(demand.service): Demand(
                demand.prompt_tokens_per_s, demand.decode_tokens
            )
            for demand in state.demands
        },
        switch_by_runner={
            from_runner(switch.runner): StageSwitch(
                Stage(switch.stage), switch.remaining_ms / MS_PER_S
            )
            for switch in state.switches
            # A host of a newer version may know more stages.
            if switch.stage in STAGES
        },
        unreachable=frozenset(from_runner(runner) for runner in state.unreachable),
        engine_changes=state.engine_changes,
    )


def from_loads(
    loads: Iterable[peer_pb2.FleetLoad],
) -> dict[RunnerKey, RunnerLoad]:
    """Convert messages to loads by runner."""
    return {
        from_runner(load.runner): RunnerLoad(
            load.requests, load.decode_tokens, load.prefill_tokens
        )
        for load in loads
    }


def to_loads(
    load_by_runner: Mapping[RunnerKey, RunnerLoad],
) -> list[peer_pb2.FleetLoad]:
    """Convert loads by runner to messages."""
    return [
        peer_pb2.FleetLoad(
            runner=to_runner(key),
            requests=load.requests,
            decode_tokens=load.decode_tokens,
            prefill_tokens=load.prefill_tokens,
        )
        for key, load in load_by_runner.items()
    ]


def to_demands(work: HostWork) -> list[peer_pb2.FleetDemand]:
    """Convert a host's demand to messages."""
    return [
        peer_pb2.FleetDemand(
            service=service,
            prompt_tokens_per_s=int(demand.prompt_tokens_per_s),
            decode_tokens=int(demand.decode_tokens),
        )
        for service, demand in work.demand_by_service.items()
    ]


def to_switches(work: HostWork) -> list[peer_pb2.FleetSwitch]:
    """Return the messages for the stage changes that a host has ordered."""
    return [
        peer_pb2.FleetSwitch(
            runner=to_runner(key),
            remaining_ms=int(switch.unavailable_s * MS_PER_S),
            stage=switch.stage.value,
        )
        for key, switch in work.switch_by_runner.items()
    ]


def to_limits(
    record_by_runner: Mapping[RunnerKey, RunnerRecord], now: float
) -> list[peer_pb2.FleetLimit]:
    """Convert the limits that runners stated to messages.

    Parameters
    ----------
    record_by_runner : mapping of RunnerKey to RunnerRecord
    now : float
        Monotonic time.
    """
    return [
        peer_pb2.FleetLimit(
            runner=to_runner(key),
            per_s=record.per_s,
            age_ms=int((now - record.stated_at) * MS_PER_S),
        )
        for key, record in record_by_runner.items()
    ]


def to_leaving(runner: KnownRunner) -> peer_pb2.FleetLeaving:
    """Convert a draining or gone process of a runner to its message."""
    return peer_pb2.FleetLeaving(
        runner=to_runner(runner.registration.key),
        sequence=runner.registration.sequence,
        drained=runner.drain_announced,
    )


def to_runner(key: RunnerKey) -> peer_pb2.FleetRunner:
    """Convert the key of a runner's process to its message."""
    return peer_pb2.FleetRunner(runner=key.name, started_at=key.started_at)


def from_runner(runner: peer_pb2.FleetRunner) -> RunnerKey:
    """Convert a message to the key of a runner's process."""
    return RunnerKey(RunnerName(runner.runner), StartedAt(runner.started_at))
