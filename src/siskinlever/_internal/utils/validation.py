"""Parses JSON into pydantic models; each fault is one line with its JSON path."""

from __future__ import annotations

import difflib
import json
from typing import Any, TypeVar, get_args

from pydantic import BaseModel, ValidationError

M = TypeVar("M", bound=BaseModel)

MAX_REPR_CHARACTERS = 80
REFERENCES = "references"

# The first matching suffix is used, so longer suffixes precede shorter ones.
UNIT_BY_SUFFIX = {
    "tokens_per_s": "tokens a second",
    "bytes_per_s": "bytes a second",
    "requests_per_s": "requests a second",
    "bytes_per_token": "bytes",
    "_ms": "milliseconds",
    "_s": "seconds",
}

LIMIT_BY_TYPE = {
    "greater_than": "allowed: more than {gt}",
    "greater_than_equal": "allowed: {ge} or more",
    "less_than": "allowed: less than {lt}",
    "less_than_equal": "allowed: {le} or less",
    "enum": "allowed: {expected}",
    "literal_error": "allowed: {expected}",
    "too_short": "allowed: {min_length} entries or more",
    "string_too_short": "allowed: {min_length} characters or more",
}

EXPECTED_BY_TYPE = {
    "float_type": "a number",
    "int_type": "a whole number",
    "int_from_float": "a whole number",
    "string_type": "a string",
    "bool_type": "true or false",
    "tuple_type": "a list",
    "model_type": "an object",
    "dict_type": "an object",
    "finite_number": "a finite number",
}


class _DuplicateKeyError(ValueError):
    """Raised when a JSON object contains a key more than once."""


def parse_json(model: type[M], content: bytes | str) -> tuple[M | None, list[str]]:
    """Parse JSON into a model; return the model or None, and all faults."""
    try:
        return model.model_validate_json(content), []
    except ValidationError as error:
        return None, _faults(model, error)


def parse_document(model: type[M], content: bytes) -> tuple[M | None, list[str]]:
    """Parse a document written by a person, more strictly than `parse_json`.

    Duplicate keys are faults. References are checked even if fields are invalid,
    so that all faults are reported at once.
    """
    raw, faults = _load_json(content)
    if faults:
        return None, faults
    parsed, faults = parse_json(model, content)
    check = getattr(model, "reference_faults", None)
    if parsed is None and check is not None:
        reported = set(faults)
        faults += [fault for fault in check(raw) if fault not in reported]
    return parsed, faults


def _load_json(content: bytes) -> tuple[Any, list[str]]:
    try:
        text = content.decode()
    except UnicodeDecodeError as error:
        found = content[error.start]
        return None, [f"$: not UTF-8, found byte 0x{found:02x} at {error.start}"]
    try:
        return json.loads(text, object_pairs_hook=_unique_object), []
    except json.JSONDecodeError as error:
        position = f"line {error.lineno} column {error.colno}"
        return None, [f"$: not JSON, {error.msg} at {position}"]
    except _DuplicateKeyError as error:
        return None, [f"$: {error}"]
    except RecursionError:
        return None, ["$: nested too deeply"]


def _unique_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found = dict(pairs)
    if len(found) == len(pairs):
        return found
    names = [name for name, _ in pairs]
    duplicates = sorted({name for name in names if names.count(name) > 1})
    raise _DuplicateKeyError(f"duplicate key {duplicates[0]!r} in an object")


def _faults(model: type[BaseModel], error: ValidationError) -> list[str]:
    return [line for fault in error.errors() for line in _fault_lines(model, fault)]


def _fault_lines(model: type[BaseModel], fault: Any) -> list[str]:
    kind = fault["type"]
    if kind == REFERENCES:
        return str(fault["ctx"]["faults"]).split("\n")
    path = "$" + "".join(_path_step(part) for part in fault["loc"])
    if kind == "extra_forbidden":
        return [f"{path}: unknown field, {_allowed_fields(model, fault['loc'])}"]
    if kind == "missing":
        return [f"{path}: required field is missing"]
    if kind == "json_invalid":
        return [f"{path}: {fault['msg']}"]
    return [f"{path}: found {_truncated_repr(fault['input'])}, {_expected(fault)}"]


def _expected(fault: Any) -> str:
    kind = fault["type"]
    if kind in LIMIT_BY_TYPE:
        return LIMIT_BY_TYPE[kind].format(**fault.get("ctx", {}))
    expected = EXPECTED_BY_TYPE.get(kind)
    if expected is None:
        return str(fault["msg"])
    unit = _unit(fault["loc"])
    if unit is None or "number" not in expected:
        return f"allowed: {expected}"
    return f"allowed: {expected} of {unit}, with no unit written"


def _unit(location: tuple[str | int, ...]) -> str | None:
    name = str(location[-1]) if location else ""
    units = (unit for suffix, unit in UNIT_BY_SUFFIX.items() if name.endswith(suffix))
    return next(units, None)


def _allowed_fields(model: type[BaseModel], location: tuple[str | int, ...]) -> str:
    for part in location[:-1]:
        if isinstance(part, str) and part in model.model_fields:
            model = _nested_model(model.model_fields[part].annotation) or model
    names = sorted(model.model_fields)
    close_matches = difflib.get_close_matches(str(location[-1]), names, 1)
    suggestion = f"did you mean {close_matches[0]!r}? " if close_matches else ""
    return f"{suggestion}allowed: {', '.join(names)}"


def _nested_model(annotation: Any) -> type[BaseModel] | None:
    """Return the model class in a field's annotation, directly or in a list."""
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return annotation
    found = (_nested_model(argument) for argument in get_args(annotation))
    return next((model for model in found if model is not None), None)


def _path_step(part: str | int) -> str:
    return f"[{part}]" if isinstance(part, int) else f".{part}"


def _truncated_repr(value: object) -> str:
    text = repr(value)
    if len(text) <= MAX_REPR_CHARACTERS:
        return text
    return text[:MAX_REPR_CHARACTERS] + "…"
