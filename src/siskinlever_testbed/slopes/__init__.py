"""Measures the resource costs of each part of the system, for docs/CAPACITY.md."""

from .command import run

__all__ = ["run"]
