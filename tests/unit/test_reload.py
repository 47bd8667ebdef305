"""Reload of the settings of a running host."""

from __future__ import annotations

import json
from dataclasses import replace
from pathlib import Path

from lib.platform_world import platform_world

from siskinlever._internal.daemon.gateway import reload_settings
from siskinlever._internal.exceptions import SettingsError


async def test_valid_settings_are_applied_and_invalid_ones_are_rejected(tmp_path: Path):
    log_path = tmp_path / "log"
    async with platform_world(str(log_path)) as world:
        (host,) = world.hosts
        retry = replace(host.settings.bounds.retry, extra=7)
        bounds = replace(host.settings.bounds, retry=retry)
        changed = replace(host.settings, bounds=bounds, memory_limit_bytes=1)
        reload_settings(host, lambda: changed)
        assert host.context.retry_budget.bounds.extra == 7

        def load_invalid():
            raise SettingsError("node.toml: zone: found 4, expected str")

        reload_settings(host, load_invalid)
        assert host.context.retry_budget.bounds.extra == 7
        lines = world.lines("process.reload")
    assert [line["outcome"] for line in lines] == ["applied", "kept"]
    assert lines[0]["applied"] == "bounds"
    assert lines[0]["at_next_start"] == "memory_limit_bytes"
    assert "zone" in lines[1]["reason"]
    assert json.dumps(lines)
