"""Benchmark of the placement policies under load and faults."""

from .command import run

__all__ = ["run"]
