"""Runner registrations for tests of placement and fleet state."""

from __future__ import annotations

from siskinlever._internal.models.upstreams import Registration, RunnerKey, Stage


def registration(
    name: str,
    zone: str = "a",
    service: str = "s",
    stage: Stage | None = None,
    draining: bool = False,
    sequence: int = 1,
    started_at: int = 0,
    version: str = "v1",
) -> Registration:
    """Return the registration of a runner with 6 slots."""
    key = RunnerKey(name, started_at)
    address = f"10.0.0.1:{8000 + sum(name.encode())}"
    return Registration(
        key, service, address, zone, 6, draining, sequence, stage, version
    )


def plain(name: str, zone: str) -> Registration:
    """Return the registration of a runner of a plain service."""
    return registration(name, zone)


def engine(name: str, stage: Stage, version: str = "v1") -> Registration:
    """Return the registration of a model engine."""
    return registration(name, stage=stage, version=version)
