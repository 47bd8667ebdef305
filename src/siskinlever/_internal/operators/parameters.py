"""Validation of the administration interface's query parameters."""

from __future__ import annotations

from sanic import Request

from ..exceptions import ParameterError


def check_parameter_names(request: Request, *allowed: str) -> None:
    """Raise `ParameterError` for a parameter whose name is not allowed."""
    for name in request.args:
        if name not in allowed:
            allowed_names = ", ".join(allowed) or "none"
            raise ParameterError(f"{name}: unknown parameter, allowed: {allowed_names}")


def integer_parameter(request: Request, name: str) -> int | None:
    """Return a non-negative integer parameter, or None if it is not given.

    Raises
    ------
    ParameterError
    """
    value = request.args.get(name)
    if value is None:
        return None
    if not (value.isascii() and value.isdigit() and len(value) <= 18):
        raise ParameterError(f"{name}: found {value[:80]!r}, allowed: a whole number")
    return int(value)


def seconds_parameter(
    request: Request, name: str, default: float, maximum: float
) -> float:
    """Return a parameter in seconds, or the default if it is not given.

    Raises
    ------
    ParameterError
        The value is not a number from 0 to ``maximum``.
    """
    value = request.args.get(name)
    if value is None:
        return default
    try:
        number = float(value)
    except ValueError:
        number = -1.0
    if not 0 <= number <= maximum:
        raise ParameterError(
            f"{name}: found {value[:80]!r}, allowed: a number of seconds from 0 to "
            f"{maximum:g}, with no unit written"
        )
    return number
