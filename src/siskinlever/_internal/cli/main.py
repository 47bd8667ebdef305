"""The operators' command line.

Usage:
  siskinlever [options] <command> [<args>...]
  siskinlever (-h | --help)
  siskinlever --version

Options:
  --hosts=LIST  Administration addresses, IP:port, separated by commas.
                Defaults to $SISKINLEVER_HOSTS, or else 127.0.0.1:8100.
  --key=KEY     The operator's key. Defaults to $SISKINLEVER_KEY.
  --tls-authority=FILE
                Certificate authority of the hosts, in PEM format.
  --json        Print JSON.
  -h --help     Show this help.
  --version     Show the version.

Commands:
  validate  Check a declaration.
  plan      Show what an apply would change.
  apply     Put a declaration in force.
  show      Show the declaration in force at each host.
  status    Show the state of the hosts.
  crashes   Show what crashes runners, and lift wrong verdicts.
  duties    Show the duties that hosts don't keep.
  workspaces
            Show workspaces, the digests of their keys, and what was refused.
  timeline  Show events of all hosts in causal order.
  explain   Show the log lines of the hosts about one request.
  version   Show the version.

`siskinlever <command> --help` shows the help of a command. The options above
are also accepted after the command.

Exit codes:
  0  done
  1  failed
  2  the command line is not valid, or a file cannot be read or written
  3  the declaration has faults
  4  conflict: another apply took effect first
  5  hosts or the key-value service were unreachable
  6  the outcome of an apply is not known
  7  accepted, but not confirmed by every live host
"""

from __future__ import annotations

import asyncio
import os
import sys

from docopt import DocoptExit, docopt

from ... import __version__
from ..commands import load_command
from ..commands.base import CommandContext, print_json
from ..exceptions import (
    AdministrationError,
    ConflictError,
    DeclarationError,
    SiskinleverError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    UsageError,
)
from ..models.addresses import is_address
from .exit_codes import ExitCode

HOSTS_VARIABLE = "SISKINLEVER_HOSTS"
KEY_VARIABLE = "SISKINLEVER_KEY"
DEFAULT_HOST = "127.0.0.1:8100"

TAKES_VALUE_BY_OPTION = {
    "--hosts": True,
    "--key": True,
    "--tls-authority": True,
    "--json": False,
}

EXIT_CODE_BY_ERROR: dict[type[SiskinleverError], ExitCode] = {
    UsageError: ExitCode.USAGE,
    DeclarationError: ExitCode.INVALID,
    ConflictError: ExitCode.CONFLICT,
    AdministrationError: ExitCode.UNREACHABLE,
    StoreUnavailableError: ExitCode.UNREACHABLE,
    StoreOutcomeUnknownError: ExitCode.OUTCOME_UNKNOWN,
}


def main(argv: list[str] | None = None) -> int:
    """Run one command and return its exit code."""
    args = common_options_first(sys.argv[1:] if argv is None else argv)
    try:
        arguments = docopt(
            __doc__ or "", argv=args, version=__version__, options_first=True
        )
        return _run_command(arguments)
    except DocoptExit as error:
        print(error, file=sys.stderr)
        return ExitCode.USAGE
    except SiskinleverError as error:
        code = EXIT_CODE_BY_ERROR.get(type(error), ExitCode.FAILED)
        _print_error(error, code, "--json" in args)
        return code


def common_options_first(args: list[str]) -> list[str]:
    """Return the arguments with the common options moved before the command.

    If an option is given more than once, the last one is used.
    """
    common: dict[str, list[str]] = {}
    rest = []
    remaining = iter(args)
    for arg in remaining:
        name, _, value = arg.partition("=")
        if name not in TAKES_VALUE_BY_OPTION:
            rest.append(arg)
            continue
        common[name] = [arg]
        if TAKES_VALUE_BY_OPTION[name] and not value:
            common[name].append(next(remaining, ""))
    return [arg for option in common.values() for arg in option] + rest


def _print_error(error: SiskinleverError, code: ExitCode, as_json: bool) -> None:
    if as_json:
        faults = error.faults if isinstance(error, DeclarationError) else []
        details = {"message": error.message, "hint": error.hint, "faults": faults}
        print_json({"error": details | {"exit_code": int(code)}})
        return
    for line in error.message.split("\n"):
        print(f"siskinlever: {line}", file=sys.stderr)
    if error.hint:
        print(f"hint: {error.hint}", file=sys.stderr)


def _run_command(arguments: dict[str, object]) -> int:
    name = str(arguments["<command>"])
    command = load_command(name)
    command_arguments = docopt(
        command.__doc__ or "", argv=[name, *_string_list(arguments["<args>"])]
    )
    context = CommandContext(
        hosts=_parse_hosts(arguments["--hosts"]),
        key=str(arguments["--key"] or os.environ.get(KEY_VARIABLE, "")),
        json=bool(arguments["--json"]),
        tls_authority=str(arguments["--tls-authority"] or ""),
    )
    return int(asyncio.run(command.run(context, command_arguments)))


def _parse_hosts(option: object) -> tuple[str, ...]:
    value = str(option or os.environ.get(HOSTS_VARIABLE) or DEFAULT_HOST)
    hosts = tuple(host.strip() for host in value.split(",") if host.strip())
    if not hosts:
        raise UsageError(
            f"--hosts: found {value!r}, which names no host",
            "name one or more, such as 10.0.0.5:8100,10.0.0.6:8100",
        )
    for host in hosts:
        if not is_address(host):
            raise UsageError(
                f"--hosts: found {host!r}, allowed: IP numbers with ports, "
                "such as 10.0.0.5:8100"
            )
    return hosts


def _string_list(value: object) -> list[str]:
    return [str(item) for item in value] if isinstance(value, list) else []
