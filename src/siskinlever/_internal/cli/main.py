"""The operators' command line.

Usage:
  siskinlever [options] <command> [<args>...]
  siskinlever (-h | --help)
  siskinlever --version

Options:
  --hosts=LIST  Administration addresses, IP:port, separated by commas
                [default: 127.0.0.1:8100]. Also from SISKINLEVER_HOSTS.
  --key=KEY     The operator's key. Also from SISKINLEVER_KEY.
  --tls-authority=FILE
                Certificate authority of the hosts, in PEM form.
  --json        Print JSON.
  -h --help     Show this help.
  --version     Show the version.

Commands:
  validate  Check a declaration.
  plan      Show what an apply would change.
  apply     Make a declaration the one in force.
  show      Show the declaration in force at each host.
  status    Show the state of the hosts.
  timeline  Show events over all hosts.
  version   Show the version.

`siskinlever <command> --help` shows the help of a command.
"""

from __future__ import annotations

import asyncio
import os
import sys

from docopt import DocoptExit, docopt

from ... import __version__
from ..commands import load_command
from ..commands.base import CommandContext
from ..exceptions import (
    AdministrationError,
    ConflictError,
    DeclarationError,
    SiskinleverError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    UsageError,
)
from .exit_codes import ExitCode

HOSTS_VARIABLE = "SISKINLEVER_HOSTS"
KEY_VARIABLE = "SISKINLEVER_KEY"

EXIT_CODE_BY_ERROR: dict[type[SiskinleverError], ExitCode] = {
    UsageError: ExitCode.USAGE,
    DeclarationError: ExitCode.INVALID,
    ConflictError: ExitCode.CONFLICT,
    AdministrationError: ExitCode.UNREACHABLE,
    StoreUnavailableError: ExitCode.UNREACHABLE,
    StoreOutcomeUnknownError: ExitCode.OUTCOME_UNKNOWN,
}


def main(argv: list[str] | None = None) -> int:
    """Run one command; return its exit code."""
    try:
        arguments = docopt(
            __doc__ or "", argv=argv, version=__version__, options_first=True
        )
        return _run(arguments)
    except DocoptExit as error:
        print(error, file=sys.stderr)
        return ExitCode.USAGE
    except SiskinleverError as error:
        print(f"siskinlever: {error.message}", file=sys.stderr)
        if error.hint:
            print(f"hint: {error.hint}", file=sys.stderr)
        return EXIT_CODE_BY_ERROR.get(type(error), ExitCode.FAILED)


def _run(arguments: dict[str, object]) -> int:
    name = str(arguments["<command>"])
    command = load_command(name)
    own = docopt(command.__doc__ or "", argv=[name, *_list(arguments["<args>"])])
    hosts = os.environ.get(HOSTS_VARIABLE) or str(arguments["--hosts"])
    context = CommandContext(
        hosts=tuple(host.strip() for host in hosts.split(",") if host.strip()),
        key=str(arguments["--key"] or os.environ.get(KEY_VARIABLE, "")),
        json=bool(arguments["--json"]),
        tls_authority=str(arguments["--tls-authority"] or ""),
    )
    return int(asyncio.run(command.run(context, own)))


def _list(value: object) -> list[str]:
    return [str(item) for item in value] if isinstance(value, list) else []
