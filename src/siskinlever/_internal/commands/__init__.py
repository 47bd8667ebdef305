"""The commands, one module each, imported only when the command is run.

Commands that call hosts use the administration interface, which only
`siskinleverd --settings` has; `crashes`, `duties` and `workspaces` use the metrics
interface of `siskinleverd --platform`.
"""

from __future__ import annotations

import importlib
from typing import Any

from ..exceptions import UsageError

MODULE_BY_COMMAND = {
    "apply": "apply",
    "crashes": "crashes",
    "duties": "duties",
    "explain": "explain",
    "plan": "plan",
    "show": "show",
    "status": "status",
    "timeline": "timeline",
    "validate": "validate",
    "version": "version",
    "workspaces": "workspaces",
}


def load_command(name: str) -> Any:
    """Return the module of a command.

    Raises
    ------
    UsageError
        If there is no such command.
    """
    module = MODULE_BY_COMMAND.get(name)
    if module is None:
        raise UsageError(
            f"unknown command {name!r}, allowed: {sorted(MODULE_BY_COMMAND)}",
            "see `siskinlever --help`",
        )
    return importlib.import_module(f".{module}", __name__)
