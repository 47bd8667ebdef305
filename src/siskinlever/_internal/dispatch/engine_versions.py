"""Chooses the engines whose software version may continue a generation.

During a release, engines of several versions serve side by side. A stream goes on only
at the version that began it, and both stages of a generation run at one version.
"""

from __future__ import annotations

from collections.abc import Iterable

from ..models.upstreams import Registration, SoftwareVersion, Stage


def at_version(
    runners: Iterable[Registration], version: SoftwareVersion | None
) -> list[Registration]:
    """Return the runners of a version, or all if it is None."""
    return [r for r in runners if version is None or r.version == version]


def can_decode(
    runners: Iterable[Registration], version: SoftwareVersion | None
) -> bool:
    """Return whether there is a decode engine of a version, or any if it is None."""
    return any(r.stage is Stage.DECODE for r in at_version(runners, version))


def only_version(runners: Iterable[Registration]) -> SoftwareVersion | None:
    """Return the version of all runners, or None if they differ or there are none."""
    versions = {runner.version for runner in runners}
    return versions.pop() if len(versions) == 1 else None
