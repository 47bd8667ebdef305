"""Type-checked access to the fields of external records."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, TypeVar

from ..exceptions import InvalidRecordError

T = TypeVar("T")
MS_PER_S = 1000.0


def required_field(record: Mapping[str, Any], name: str, expected_type: type[T]) -> T:
    """Return a required field, checked against its expected type.

    An integer is accepted where a float is expected; a bool is not accepted
    as a number.

    Raises
    ------
    InvalidRecordError
        If the field is missing or has a different type; the message names it.
    """
    value = record.get(name)
    if (
        expected_type is float
        and isinstance(value, int)
        and not isinstance(value, bool)
    ):
        return expected_type(value)  # type: ignore[call-arg]
    if not isinstance(value, expected_type) or (
        expected_type is int and isinstance(value, bool)
    ):
        raise InvalidRecordError(
            f"{name}: found {value!r}, expected {expected_type.__name__}"
        )
    return value


def optional_field(record: Mapping[str, Any], name: str, default: T) -> T:
    """Return a field, or the default if it is missing or null.

    Raises
    ------
    InvalidRecordError
        If the field has a different type from the default.
    """
    if record.get(name) is None:
        return default
    return required_field(record, name, type(default))


def as_mapping(value: object, name: str) -> Mapping[str, Any]:
    """Return the value as a mapping; raises `InvalidRecordError` if it is not one."""
    if not isinstance(value, Mapping):
        raise InvalidRecordError(f"{name}: found {value!r}, expected a table")
    return value
