"""Reader of the settings file that the platform writes for each process."""

from __future__ import annotations

import os
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from ..exceptions import InvalidRecordError, SettingsError
from ..models.host_settings import (
    AllowanceBounds,
    ChangeBounds,
    FleetBounds,
    HostSettings,
    KeyBounds,
    Listeners,
    RetryBounds,
    StoreSettings,
)
from ..models.ids import HostName, ZoneName
from ..models.upstreams import Address
from .fields import (
    MS_PER_S,
    as_mapping,
    optional_count,
    optional_field,
    optional_number,
    required_field,
)

PATH_VARIABLE = "SISKINLEVER_NODE_FILE"
DEFAULT_PATH = "/etc/siskinlever/node.toml"
# The platform scrapes metrics from this port; deploy/system.toml declares it too.
METRICS_PORT = 9464
BYTES_PER_MB = 1_000_000
# Seconds after an outage of the store within which runners register again.
LAPSE_RECOVERY_S = 2.0


def settings_path() -> Path:
    """Return the path of this process's settings file."""
    return Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))


def read_settings(path: Path) -> HostSettings:
    """Read and validate the settings file.

    Raises
    ------
    SettingsError
        If the file cannot be read, is not TOML or has an invalid field; the
        message names the file and the field.
    """
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
    """Decode a parsed settings file.

    Times in milliseconds are converted to seconds, memory in megabytes to bytes.

    Raises
    ------
    InvalidRecordError
        If a field is missing or invalid; the message names it.
    """
    zones = as_mapping(document.get("zones", {}), "zones")
    limits = as_mapping(document.get("limits", {}), "limits")
    return HostSettings(
        host=HostName(required_field(document, "node_name", str)),
        zone=ZoneName(required_field(document, "zone", str)),
        region=required_field(document, "region", str),
        region_by_zone={ZoneName(zone): str(region) for zone, region in zones.items()},
        listeners=_decode_listeners(document),
        seeds=tuple(Address(str(seed)) for seed in document.get("seed_nodes", ())),
        store=_decode_store(as_mapping(document.get("platform"), "platform")),
        bounds=_decode_bounds(as_mapping(document.get("bounds", {}), "bounds")),
        memory_limit_bytes=int(optional_number(limits, "memory_mb", 0) * BYTES_PER_MB),
        descriptor_limit=optional_count(limits, "max_fds", 0),
        # ``cpu_quota`` is a share of one core, and ``cpu_cores`` its relative speed.
        cores=optional_number(limits, "cpu_quota", 1.0)
        * optional_number(limits, "cpu_cores", 1.0),
        link_mbps=optional_number(limits, "bandwidth_mbps", 0.0),
        runner_heartbeat_s=optional_number(document, "heartbeat_ms", 1200) / MS_PER_S,
        is_first_start=optional_field(document, "bootstrap", False),
    )


def _decode_listeners(document: Mapping[str, Any]) -> Listeners:
    listen = as_mapping(document.get("listen"), "listen")
    ip = required_field(document, "ip", str)
    internal = document.get("internal_ports") or [0]
    # Peers connect to the control plane address, which only other hosts can reach.
    peers = listen.get("control_plane") or f"{ip}:{internal[0]}"
    return Listeners(
        callers=Address(required_field(listen, "frontend", str)),
        readiness=Address(required_field(listen, "readiness", str)),
        lookup=Address(required_field(listen, "registry", str)),
        peers=Address(str(peers)),
        metrics=Address(f"{ip}:{METRICS_PORT}"),
    )


def _decode_store(platform: Mapping[str, Any]) -> StoreSettings:
    return StoreSettings(
        address=Address(required_field(platform, "address", str)),
        writes_per_s=optional_number(platform, "writes_per_s", 400.0),
        reads_per_s=optional_number(platform, "reads_per_s", 2000.0),
        min_lease_s=optional_number(platform, "min_ttl_ms", 1000) / MS_PER_S,
    )


def _decode_bounds(bounds: Mapping[str, Any]) -> FleetBounds:
    return FleetBounds(
        retry=RetryBounds(
            share=optional_number(bounds, "retry_budget_ratio", 0.2),
            extra=optional_number(bounds, "retry_min_extra", 50),
            window_s=optional_number(bounds, "retry_window_s", 10.0),
        ),
        shutdown_grace_s=optional_number(bounds, "grace_period_s", 8.0),
        order_lease_s=optional_number(bounds, "lease_ms", 3000) / MS_PER_S,
        lookup_ttl_max_s=optional_number(bounds, "ttl_max_s", 5.0),
        lapse_recovery_s=LAPSE_RECOVERY_S,
        keys=KeyBounds(
            fails_closed=optional_field(bounds, "revoke_fail_closed", False),
            revoke_s=optional_number(bounds, "revoke_ms", 5000.0) / MS_PER_S,
        ),
        allowance=AllowanceBounds(
            window_s=optional_number(bounds, "quota_window_s", 8.0),
            overage=optional_number(bounds, "quota_overage", 0.0),
            tolerance=optional_number(bounds, "quota_tolerance", 0.0),
        ),
        change=ChangeBounds(
            configuration_s=optional_number(bounds, "config_apply_ms", 2000.0)
            / MS_PER_S,
            leaving_s=optional_number(bounds, "drain_ms", 2000.0) / MS_PER_S,
        ),
    )
