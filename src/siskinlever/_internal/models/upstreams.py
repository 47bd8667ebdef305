"""Registrations and load reports of runners on the platform."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NewType

from .ids import RunnerName, ServiceName, ZoneName

Address = NewType("Address", str)
# Unix time of a runner's start in milliseconds.
StartedAt = NewType("StartedAt", int)
# Version of a runner's software, not of the weights that it has loaded.
SoftwareVersion = NewType("SoftwareVersion", str)


class Stage(Enum):
    """Stage of a generation that an engine serves.

    In declarations, `declaration.Role` has the same meaning.
    """

    PREFILL = "prefill"
    DECODE = "decode"


@dataclass(frozen=True, slots=True)
class RunnerKey:
    """Identifies one process of a runner; a restarted runner may keep its name.

    Parameters
    ----------
    name : str
    started_at : int
        Unix time in milliseconds; 0 if the runner does not report it.
    """

    name: RunnerName
    started_at: StartedAt


@dataclass(frozen=True, slots=True)
class Registration:
    """Latest registration written by a runner.

    Parameters
    ----------
    key : RunnerKey
    service : str
    address : str
        ``IP:port``.
    zone : str
    slots : int
        Largest number of requests that the runner processes concurrently.
    draining : bool
        Whether the runner accepts no new requests because it is about to leave.
    sequence : int
        Increases with each registration of the same process.
    stage : Stage or None
        None for plain services.
    version : str
        Version of its software.
    """

    key: RunnerKey
    service: ServiceName
    address: Address
    zone: ZoneName
    slots: int
    draining: bool
    sequence: int
    stage: Stage | None
    version: SoftwareVersion


@dataclass(frozen=True, slots=True)
class EngineReport:
    """Load reported by an engine, a few hundred milliseconds old.

    Parameters
    ----------
    stage : Stage or None
    switching : bool
        Whether the engine is carrying out an order.
    orders_accepted : int
        Orders accepted since the engine started.
    waiting, running : int
        Number of requests.
    kv_used, kv_held, kv_total : int
        KV cache in tokens: not evictable, reserved, and total capacity.
    leaves_in_s : float or None
        Seconds until the engine leaves; None if the engine reports no time.
    """

    stage: Stage | None
    switching: bool
    orders_accepted: int
    waiting: int
    running: int
    kv_used: int
    kv_held: int
    kv_total: int
    leaves_in_s: float | None


@dataclass(frozen=True, slots=True)
class RunnerStatement:
    """What a runner states about itself in an answer.

    Parameters
    ----------
    limit_per_s : float or None
        Requests per second that it takes from all hosts together.
    is_leaving : bool
    pause_s : float or None
        Seconds for which it wants no requests from this host.
    is_limit_valid : bool
        Whether ``limit_per_s`` is what the runner stated; False if that could not be
        decoded.
    invalid : tuple of str
        The headers that could not be decoded, and their values.
    """

    limit_per_s: float | None
    is_leaving: bool
    pause_s: float | None
    is_limit_valid: bool
    invalid: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that a runner reports in its answers.

    Parameters
    ----------
    running, waiting, slots : int
        Numbers of requests.
    work_time : float or None, default=None
        How long work takes on the runner's machine at this moment, as a multiple of
        the usual time; None if the runner doesn't report it.
    """

    running: int
    waiting: int
    slots: int
    work_time: float | None = None
