"""Simulation of engines under load in virtual time, to compare policies."""

from .command import run

__all__ = ["run"]
