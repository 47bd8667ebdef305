"""Measures what each part of the system costs, for docs/CAPACITY.md."""

from .command import run

__all__ = ["run"]
