"""Reads the settings file that the platform writes for each process."""

from __future__ import annotations

import os
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from ..exceptions import InvalidRecordError, SettingsError
from ..models.host_settings import (
    FleetBounds,
    HostSettings,
    Listeners,
    RetryBounds,
    StoreSettings,
)
from ..models.ids import HostName, ZoneName
from ..models.upstreams import Address
from .fields import MS_PER_S, field, optional, table

PATH_VARIABLE = "SISKINLEVER_NODE_FILE"
DEFAULT_PATH = "/etc/siskinlever/node.toml"
# The platform reads metrics here; the port stands in deploy/system.toml.
METRICS_PORT = 9464
BYTES_PER_MB = 1_000_000
# Lapsed registrations are back within this time after an outage of the store.
LAPSE_RECOVERY_S = 2.0


def settings_path() -> Path:
    """Return where the settings of this process are."""
    return Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))


def read_settings(path: Path) -> HostSettings:
    """Read and check the settings; raises `SettingsError` naming the field."""
    try:
        document = tomllib.loads(path.read_text())
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: not TOML: {error}") from error
    try:
        return decode_settings(document)
    except InvalidRecordError as error:
        raise SettingsError(f"{path}: {error.message}") from error


def decode_settings(document: Mapping[str, Any]) -> HostSettings:
    """Return the settings of a parsed file; raises `InvalidRecordError`."""
    zones = table(document.get("zones", {}), "zones")
    limits = table(document.get("limits", {}), "limits")
    return HostSettings(
        host=HostName(field(document, "node_name", str)),
        zone=ZoneName(field(document, "zone", str)),
        region=field(document, "region", str),
        region_by_zone={ZoneName(zone): str(region) for zone, region in zones.items()},
        listeners=_listeners(document),
        seeds=tuple(Address(str(seed)) for seed in document.get("seed_nodes", ())),
        store=_store(table(document.get("platform"), "platform")),
        bounds=_bounds(table(document.get("bounds", {}), "bounds")),
        memory_limit_bytes=optional(limits, "memory_mb", 0) * BYTES_PER_MB,
        descriptor_limit=optional(limits, "max_fds", 0),
        runner_heartbeat_s=optional(document, "heartbeat_ms", 1200) / MS_PER_S,
        is_first_start=optional(document, "bootstrap", False),
    )


def _listeners(document: Mapping[str, Any]) -> Listeners:
    listen = table(document.get("listen"), "listen")
    ip = field(document, "ip", str)
    internal = document.get("internal_ports") or [0]
    # The control address is reachable from other hosts only, as peers need it.
    peers = listen.get("control_plane") or f"{ip}:{internal[0]}"
    return Listeners(
        callers=Address(field(listen, "frontend", str)),
        readiness=Address(field(listen, "readiness", str)),
        lookup=Address(field(listen, "registry", str)),
        peers=Address(str(peers)),
        metrics=Address(f"{ip}:{METRICS_PORT}"),
    )


def _store(platform: Mapping[str, Any]) -> StoreSettings:
    return StoreSettings(
        address=Address(field(platform, "address", str)),
        writes_per_s=optional(platform, "writes_per_s", 400.0),
        reads_per_s=optional(platform, "reads_per_s", 2000.0),
        min_lease_s=optional(platform, "min_ttl_ms", 1000) / MS_PER_S,
    )


def _bounds(bounds: Mapping[str, Any]) -> FleetBounds:
    return FleetBounds(
        retry=RetryBounds(
            share=optional(bounds, "retry_budget_ratio", 0.2),
            extra=optional(bounds, "retry_min_extra", 50),
            window_s=optional(bounds, "retry_window_s", 10.0),
        ),
        drain_s=optional(bounds, "drain_ms", 2000) / MS_PER_S,
        shutdown_grace_s=optional(bounds, "grace_period_s", 8.0),
        order_lease_s=optional(bounds, "lease_ms", 3000) / MS_PER_S,
        lookup_ttl_max_s=optional(bounds, "ttl_max_s", 5.0),
        lapse_recovery_s=LAPSE_RECOVERY_S,
        address_reuse_s=optional(bounds, "addr_reuse_s", 2.0),
    )
