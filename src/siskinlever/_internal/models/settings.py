"""Settings of one process of `siskinleverd --settings`."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

from pydantic import Field

from .addresses import Address, HttpUrl, KeyDigest, Name
from .declaration import StrictModel


class Policy(StrEnum):
    """Policy by which requests are placed on runners."""

    SISKINLEVER = "siskinlever"
    NAIVE = "naive"
    BOUNDED = "bounded"


class Listener(StrictModel):
    """Address that one interface of the process listens on."""

    address: Address


class OperatorsListener(Listener):
    """The administration interface and the digests of its operators' keys."""

    key_digests: tuple[KeyDigest, ...] = Field(min_length=1, strict=False)


class PeersListener(Listener):
    """The interface between hosts and the key that all hosts share."""

    key: Annotated[str, Field(min_length=16)]


class Platform(StrictModel):
    """Addresses of the key-value service and the host list.

    Unrelated to `siskinleverd --platform`.
    """

    key_value: HttpUrl
    host_list: HttpUrl
    key_prefix: Annotated[str, Field(pattern=r"^[a-z0-9-]+$")] = "siskinlever"


class Tls(StrictModel):
    """Paths of PEM files; peers are verified against ``authority``."""

    certificate: str
    key: str
    authority: str


class Settings(StrictModel):
    """All settings that a process reads when it starts.

    Parameters
    ----------
    host, zone, region : str
    callers, operators, peers
        The interfaces of this process.
    tls : Tls or None
        If None, no interface uses TLS.
    clock_offset_s : float
        Seconds added to the wall clock in the timeline, for tests.
    """

    host: Name
    zone: Name
    region: Name = "default"
    callers: Listener
    operators: OperatorsListener
    peers: PeersListener
    platform: Platform
    tls: Tls | None = None
    policy: Annotated[Policy, Field(strict=False)] = Policy.SISKINLEVER
    clock_offset_s: Annotated[float, Field(ge=-86400, le=86400)] = 0.0
