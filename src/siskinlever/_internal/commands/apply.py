"""Puts a declaration in force.

Usage:
  siskinlever apply <file> [--base=GENERATION] [--wait=SECONDS] [--apply-id=ID]

The declaration is checked first; nothing is sent if it has a fault. It is
accepted only if the generation it is based on is still in force, so that
exactly one of two concurrent applies succeeds.

Options:
  --base=GENERATION  The generation that `siskinlever plan` compared with;
                     by default the highest in force now.
  --wait=SECONDS     Longest time to wait for all live hosts to confirm
                     [default: 17].
  --apply-id=ID      Identifies this apply. An apply whose outcome is unknown
                     may be repeated with its id: it takes effect once.

Exit codes:
  0  accepted, and in force at every live host
  3  the declaration has faults; nothing was sent
  4  another apply took effect first; this one did not and will not take effect
  5  no host was reached, or the key-value service was unreachable; not accepted
  6  it is not known whether it was accepted: repeat it with its id
  7  accepted, but not every live host has confirmed it yet
"""

from __future__ import annotations

import asyncio
import uuid
from typing import Any

from ..cli.exit_codes import ExitCode
from ..exceptions import (
    AdministrationError,
    CallRefusedError,
    PlatformError,
    SiskinleverError,
    StoreOutcomeUnknownError,
)
from ..utils.clock import Deadline
from .base import (
    READ_TIMEOUT_S,
    WRITE_TIMEOUT_S,
    AdminClient,
    CommandContext,
    admin_client,
    number_option,
    print_json,
    read_declaration,
    seconds_option,
)

PATH = "/v1/configuration"
RETRY_PAUSE_S = 0.5
MAX_CONFIRM_WAIT_S = 5.0


async def run(context: CommandContext, arguments: dict[str, Any]) -> int:
    """Run the command."""
    content, _ = read_declaration(arguments["<file>"])
    base = number_option(arguments, "--base")
    deadline = Deadline(seconds_option(arguments, "--wait"))
    apply_id = arguments["--apply-id"] or uuid.uuid4().hex
    async with admin_client(context) as client:
        if base is None:
            base = await newest_generation(client)
        params = {"apply_id": apply_id, "base_generation": str(base)}
        accepted = await _send_apply(client, params, content, deadline)
        confirmed = await _wait_confirmed(client, accepted["generation"], deadline)
    _print_result(context, accepted, confirmed)
    return ExitCode.OK if all(confirmed.values()) else ExitCode.NOT_CONFIRMED


async def newest_generation(client: AdminClient) -> int:
    """Return the highest generation in force at the hosts given."""
    results = await client.get_all("/v1/status")
    generations = [s["generation"] for s in results.values() if isinstance(s, dict)]
    if not generations:
        raise next(e for e in results.values() if isinstance(e, SiskinleverError))
    return int(max(generations))


async def _send_apply(
    client: AdminClient, params: dict[str, str], content: bytes, deadline: Deadline
) -> dict[str, Any]:
    """Send the apply until its outcome is certain.

    It may be sent repeatedly and to several hosts, because applies with the
    same id take effect once.
    """
    ambiguous_error: SiskinleverError | None = None
    while True:
        for address in client.addresses:
            try:
                return await client.call(
                    address, "PUT", PATH, WRITE_TIMEOUT_S, params=params, data=content
                )
            except CallRefusedError:
                raise
            except (AdministrationError, PlatformError) as error:
                last_error: SiskinleverError = error
            if _may_have_taken_effect(last_error):
                ambiguous_error = last_error
        if deadline.passed:
            break
        await asyncio.sleep(RETRY_PAUSE_S)
    if ambiguous_error is None:
        raise last_error
    raise StoreOutcomeUnknownError(
        f"it is not known whether the apply took effect: {ambiguous_error.message}",
        f"repeat it with --apply-id={params['apply_id']} "
        f"--base={params['base_generation']}: it takes effect once",
    )


def _may_have_taken_effect(error: SiskinleverError) -> bool:
    if isinstance(error, AdministrationError):
        return error.may_have_taken_effect
    return isinstance(error, StoreOutcomeUnknownError)


async def _wait_confirmed(
    client: AdminClient, generation: int, deadline: Deadline
) -> dict[str, bool]:
    """Wait until every live host has a generation in force or the deadline passes."""
    while True:
        wait_s = max(0.0, min(MAX_CONFIRM_WAIT_S, deadline.remaining_s))
        params = {"generation": str(generation), "wait": f"{wait_s:.3f}"}
        confirmed: dict[str, bool] = {}
        try:
            response = await client.call_any(
                "GET",
                "/v1/confirmations",
                timeout_s=wait_s + READ_TIMEOUT_S,
                params=params,
            )
            confirmed = {host["host"]: host["in_force"] for host in response["hosts"]}
        except SiskinleverError as error:
            confirmed = {f"({error.message})": False}
        if all(confirmed.values()) or deadline.passed:
            return confirmed
        await asyncio.sleep(RETRY_PAUSE_S / 5)


def _print_result(
    context: CommandContext, accepted: dict[str, Any], confirmed: dict[str, bool]
) -> None:
    if context.json:
        print_json(accepted | {"confirmed": confirmed})
        return
    print(f"accepted as generation {accepted['generation']}, {accepted['apply_id']}")
    for host, is_in_force in sorted(confirmed.items()):
        print(f"  {host}: {'in force' if is_in_force else 'not confirmed'}")
