"""Runners as they register themselves, and what they report of their load."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NewType

from .ids import RunnerName, ServiceName, ZoneName

Address = NewType("Address", str)
# Unix milliseconds of a runner's start.
StartedAt = NewType("StartedAt", int)


class Stage(Enum):
    """The part of a generation that an engine serves."""

    PREFILL = "prefill"
    DECODE = "decode"


@dataclass(frozen=True, slots=True)
class RunnerKey:
    """One process of a runner: a restart may keep the name.

    Parameters
    ----------
    name : str
    started_at : int
        Unix milliseconds; 0 if the runner does not tell.
    """

    name: RunnerName
    started_at: StartedAt


@dataclass(frozen=True, slots=True)
class Registration:
    """What a runner last wrote of itself.

    Parameters
    ----------
    key : RunnerKey
    service : str
    address : str
        ``IP:port``.
    zone : str
    slots : int
        Requests that it runs at once.
    draining : bool
        It takes no new requests and is about to leave.
    sequence : int
        Grows with each registration of the same process.
    stage : Stage or None
        None for plain services.
    """

    key: RunnerKey
    service: ServiceName
    address: Address
    zone: ZoneName
    slots: int
    draining: bool
    sequence: int
    stage: Stage | None


@dataclass(frozen=True, slots=True)
class EngineReport:
    """What an engine tells of its load; some hundred milliseconds old.

    Parameters
    ----------
    stage : Stage or None
    switching : bool
        An order is being carried out.
    orders_accepted : int
        Since the engine's start.
    waiting, running : int
        Requests.
    kv_used, kv_held, kv_total : int
        Tokens that cannot yield, tokens reserved, and capacity.
    leaves_in_s : float or None
        Time until the engine leaves, if it knows.
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
class LoadReport:
    """Load that a runner of a plain service tells with its answers."""

    running: int
    waiting: int
    slots: int
