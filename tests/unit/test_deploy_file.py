"""Consistency of the deploy files with the code."""

from __future__ import annotations

import tomllib
from pathlib import Path

from siskinlever._internal.daemon.gateway import METRICS_PATH
from siskinlever._internal.platform.settings import METRICS_PORT

ROOT = Path(__file__).parents[2]


def read(name: str):
    return tomllib.loads((ROOT / name).read_text())


def requirements() -> set[str]:
    lines = (ROOT / "requirements.txt").read_text().splitlines()
    return {line for line in lines if line and not line.startswith("#")}


def test_requirements_are_pinned_as_in_pyproject():
    assert requirements() <= set(read("pyproject.toml")["project"]["dependencies"])


def test_role_declares_all_interfaces_an_existing_program_and_the_metrics_address():
    (role,) = read("deploy/system.toml")["roles"].values()
    assert set(role["serves"]) == {"edge", "registry", "control_plane"}
    assert (ROOT / role["run"].split()[1]).is_file()
    assert role["metrics"] == f"{METRICS_PORT}{METRICS_PATH}"


def test_days_of_the_project_are_well_formed_and_have_unique_names():
    days = [tomllib.loads(p.read_text()) for p in (ROOT / "deploy/days").glob("*.toml")]
    assert len(days) >= 15
    assert len({day["name"] for day in days}) == len(days)
    assert all(day["plan"] or day["faults"] for day in days)
