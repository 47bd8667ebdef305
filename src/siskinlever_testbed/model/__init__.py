"""A model of the engines under load, in virtual time, to try decisions on."""

from .command import run

__all__ = ["run"]
