"""Type-checked access to the fields of external records."""

from __future__ import annotations

import ipaddress
import json
import math
import reprlib
from collections.abc import Mapping
from typing import Any, TypeVar

from ..exceptions import InvalidRecordError
from ..models.upstreams import Address

T = TypeVar("T")
MS_PER_S = 1000.0
# Hosts send numbers that identify something to each other in 64 bits, and compare them.
MAX_IDENTIFIER = 2**63 - 1
# Larger quantities count as this one, with which sums and timers can be computed.
MAX_QUANTITY = 1e15
MAX_TEXT_LENGTH = 1_024
MAX_PORT = 65_535


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
        return _as_float(name, value)  # type: ignore[return-value]
    if not isinstance(value, expected_type) or (
        expected_type is int and isinstance(value, bool)
    ):
        raise InvalidRecordError(
            f"{name}: found {shown(value)}, expected {expected_type.__name__}"
        )
    return value


def shown(value: object) -> str:
    """Return a value for a message, shortened; it may be nested to any depth."""
    return reprlib.repr(value)


def _as_float(name: str, value: int) -> float:
    try:
        return float(value)
    except OverflowError as error:
        raise InvalidRecordError(f"{name}: the number is too large") from error


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


def required_number(record: Mapping[str, Any], name: str) -> float:
    """Return a required number that may have a fraction, at most `MAX_QUANTITY`.

    Raises
    ------
    InvalidRecordError
        If the field is missing, negative or not a finite number; the message names
        it.
    """
    value = required_field(record, name, float)
    if not math.isfinite(value) or value < 0:
        raise InvalidRecordError(
            f"{name}: found {value!r}, expected a finite number of 0 or more"
        )
    return min(value, MAX_QUANTITY)


def optional_number(record: Mapping[str, Any], name: str, default: float) -> float:
    """Return a number that may have a fraction, or the default if it is missing.

    Raises
    ------
    InvalidRecordError
        As `required_number`.
    """
    return default if record.get(name) is None else required_number(record, name)


def required_count(record: Mapping[str, Any], name: str) -> int:
    """Return a required quantity, rounded down.

    The platform scales quantities with the size of a deployment, so they may have a
    fraction. Numbers that identify something are read with `required_field`.

    Raises
    ------
    InvalidRecordError
        As `required_number`.
    """
    return int(required_number(record, name))


def optional_count(record: Mapping[str, Any], name: str, default: int) -> int:
    """Return a quantity, rounded down, or the default if it is missing.

    Raises
    ------
    InvalidRecordError
        As `required_number`.
    """
    return default if record.get(name) is None else required_count(record, name)


def required_identifier(record: Mapping[str, Any], name: str) -> int:
    """Return a required whole number that orders or identifies something.

    Raises
    ------
    InvalidRecordError
        If the field is missing or not a whole number from 0 to `MAX_IDENTIFIER`; the
        message names it.
    """
    value = required_field(record, name, int)
    if not 0 <= value <= MAX_IDENTIFIER:
        raise InvalidRecordError(
            f"{name}: found {shown(value)}, expected 0 to {MAX_IDENTIFIER}"
        )
    return value


def optional_identifier(record: Mapping[str, Any], name: str, default: int) -> int:
    """Return such a number, or the default if it is missing.

    Raises
    ------
    InvalidRecordError
        As `required_identifier`.
    """
    is_missing = record.get(name) is None
    return default if is_missing else required_identifier(record, name)


def required_text(record: Mapping[str, Any], name: str) -> str:
    """Return a required text that can be sent, logged and compared.

    Raises
    ------
    InvalidRecordError
        If the field is missing, not valid Unicode or longer than `MAX_TEXT_LENGTH`;
        the message names it.
    """
    value = required_field(record, name, str)
    if len(value) > MAX_TEXT_LENGTH:
        raise InvalidRecordError(f"{name}: found {len(value)} characters")
    try:
        value.encode()
    except UnicodeEncodeError as error:
        raise InvalidRecordError(f"{name}: found {shown(value)}") from error
    return value


def required_address(record: Mapping[str, Any], name: str) -> Address:
    """Return a required IPv4 address with a port.

    Raises
    ------
    InvalidRecordError
        If the field is missing or is none; the message names it.
    """
    value = required_text(record, name)
    ip, _, port = value.rpartition(":")
    try:
        ipaddress.IPv4Address(ip)
        is_port = port.isascii() and port.isdigit() and 1 <= int(port) <= MAX_PORT
    except ValueError:
        is_port = False
    if not is_port:
        raise InvalidRecordError(f"{name}: found {shown(value)}")
    return Address(value)


def as_mapping(value: object, name: str) -> Mapping[str, Any]:
    """Return the value as a mapping; raises `InvalidRecordError` if it is not one."""
    if not isinstance(value, Mapping):
        raise InvalidRecordError(f"{name}: found {shown(value)}, expected a table")
    return value


def parse_object(value: bytes, name: str) -> Mapping[str, Any]:
    """Return a JSON object; raises `InvalidRecordError` with the name otherwise."""
    try:
        return as_mapping(json.loads(value), name)
    except (ValueError, RecursionError) as error:
        raise InvalidRecordError(f"not JSON: {error}") from error
