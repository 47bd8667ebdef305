"""Simulation of engines under load in virtual time, for comparing placement policies."""

from .command import run

__all__ = ["run"]
