"""Turns pydantic's errors into lines that name the JSON path."""

from __future__ import annotations

from typing import Any, TypeVar

from pydantic import BaseModel, ValidationError

M = TypeVar("M", bound=BaseModel)

MAX_SHOWN_CHARACTERS = 80


def parse_json(model: type[M], content: bytes | str) -> tuple[M | None, list[str]]:
    """Parse JSON into a model, or return every fault found."""
    try:
        return model.model_validate_json(content), []
    except ValidationError as error:
        return None, [line for fault in error.errors() for line in _lines(fault)]


def _lines(fault: Any) -> list[str]:
    if fault["type"] == "references":
        return str(fault["ctx"]["faults"]).split("\n")
    path = "$" + "".join(_step(part) for part in fault["loc"])
    if fault["type"] == "extra_forbidden":
        return [f"{path}: unknown field, found {_shown(fault['input'])}"]
    if fault["type"] == "missing":
        return [f"{path}: required field is missing"]
    return [f"{path}: {fault['msg']}, found {_shown(fault['input'])}"]


def _step(part: str | int) -> str:
    return f"[{part}]" if isinstance(part, int) else f".{part}"


def _shown(value: object) -> str:
    text = repr(value)
    if len(text) <= MAX_SHOWN_CHARACTERS:
        return text
    return text[:MAX_SHOWN_CHARACTERS] + "…"
