"""Finds duplicate names and dangling references in a declaration.

Works on parsed JSON, which may contain faults of other kinds.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from typing import Any

PathAndName = tuple[str, str]

COLLECTIONS = ("engine_pools", "models", "services", "workspaces", "leaving_hosts")


def reference_faults(raw: Any) -> list[str]:
    """Return duplicate names and dangling references, each with its JSON path."""
    faults: list[str] = []
    for collection in COLLECTIONS:
        names = [
            (f"$.{collection}[{i}].name", item.get("name"))
            for i, item in _objects(raw, collection)
        ]
        faults += _duplicates(names, "name")
    runners = list(_runners(raw))
    faults += _duplicates([(f"{p}.name", r.get("name")) for p, r in runners], "runner")
    engines = [(p, r) for p, r in runners if p.startswith("$.engine_pools")]
    faults += _duplicates(
        [(f"{p}.address", r.get("address")) for p, r in engines], "address"
    )
    faults += _duplicates(list(_digests(raw)), "key")
    faults += _dangling(
        [
            (f"$.models[{i}].pool", model.get("pool"))
            for i, model in _objects(raw, "models")
        ],
        _names(raw, "engine_pools"),
    )
    for field in ("models", "services"):
        faults += _dangling(list(_allowed_names(raw, field)), _names(raw, field))
    return faults


def _objects(raw: Any, field: str) -> Iterator[tuple[int, dict[str, Any]]]:
    items = raw.get(field) if isinstance(raw, dict) else None
    for i, item in enumerate(items if isinstance(items, list) else []):
        if isinstance(item, dict):
            yield i, item


def _names(raw: Any, collection: str) -> list[str]:
    names = (item.get("name") for _, item in _objects(raw, collection))
    return sorted(name for name in names if isinstance(name, str))


def _runners(raw: Any) -> Iterator[tuple[str, dict[str, Any]]]:
    for collection in ("engine_pools", "services"):
        for i, owner in _objects(raw, collection):
            for j, runner in _objects(owner, "runners"):
                yield f"$.{collection}[{i}].runners[{j}]", runner


def _strings(owner: dict[str, Any], field: str) -> Iterator[tuple[int, str]]:
    items = owner.get(field)
    for i, item in enumerate(items if isinstance(items, list) else []):
        if isinstance(item, str):
            yield i, item


def _digests(raw: Any) -> Iterator[PathAndName]:
    for i, workspace in _objects(raw, "workspaces"):
        for j, digest in _strings(workspace, "key_digests"):
            yield f"$.workspaces[{i}].key_digests[{j}]", digest


def _allowed_names(raw: Any, field: str) -> Iterator[PathAndName]:
    for i, workspace in _objects(raw, "workspaces"):
        for j, name in _strings(workspace, field):
            yield f"$.workspaces[{i}].{field}[{j}]", name


def _duplicates(candidates: list[tuple[str, Any]], kind: str) -> list[str]:
    entries = [(path, value) for path, value in candidates if isinstance(value, str)]
    counts = Counter(value for _, value in entries)
    return [
        f"{path}: duplicate {kind} {value!r}"
        for path, value in entries
        if counts[value] > 1
    ]


def _dangling(candidates: list[tuple[str, Any]], allowed: list[str]) -> list[str]:
    return [
        f"{path}: found {value!r}, allowed: {', '.join(allowed) or 'none declared'}"
        for path, value in candidates
        if isinstance(value, str) and value not in allowed
    ]
