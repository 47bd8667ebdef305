"""The settings of one process."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

from pydantic import Field

from .addresses import Address, HttpUrl, KeyDigest, Name
from .declaration import StrictModel


class Policy(StrEnum):
    """How requests are placed on runners."""

    SISKINLEVER = "siskinlever"
    NAIVE = "naive"
    BOUNDED = "bounded"


class Listener(StrictModel):
    """Where one interface of the process listens."""

    address: Address


class OperatorsListener(Listener):
    """The administration interface and the digests of its keys."""

    key_digests: tuple[KeyDigest, ...] = Field(min_length=1, strict=False)


class PeersListener(Listener):
    """The interface between hosts and the key that they share."""

    key: Annotated[str, Field(min_length=16)]


class Platform(StrictModel):
    """Where the platform's services are."""

    key_value: HttpUrl
    host_list: HttpUrl
    key_prefix: Annotated[str, Field(pattern=r"^[a-z0-9-]+$")] = "siskinlever"


class Tls(StrictModel):
    """Certificate files in PEM form; the authority verifies peers."""

    certificate: str
    key: str
    authority: str


class Settings(StrictModel):
    """Everything that one process must know before it starts.

    Parameters
    ----------
    host, zone, region : str
    callers, operators, peers
        The interfaces of this process.
    tls : Tls or None
        Without it all interfaces are plain.
    clock_offset_s : float
        Added to the wall clock in the time line, for tests.
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
