"""Administration client, options and output shared by the commands."""

from __future__ import annotations

import asyncio
import json
import ssl
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import aiohttp

from ..cli.exit_codes import ExitCode
from ..exceptions import (
    AdministrationError,
    CallRefusedError,
    ConflictError,
    DeclarationError,
    SiskinleverError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    UsageError,
)
from ..models.declaration import Declaration
from ..network.sessions import http_session
from ..network.tls import client_context
from ..utils.validation import parse_document

# Includes the time that a host needs to read back which apply's write took effect.
WRITE_TIMEOUT_S = 10.0
READ_TIMEOUT_S = 3.0
MAX_WAIT_S = 3600.0
UNREACHABLE_HINT = (
    "check --hosts or SISKINLEVER_HOSTS, and --tls-authority if TLS is on"
)
KEY_HINT = "give an operator's key with --key or SISKINLEVER_KEY"

ERROR_BY_CODE: dict[str, type[SiskinleverError]] = {
    "ConflictError": ConflictError,
    "StoreUnavailableError": StoreUnavailableError,
    "StoreOutcomeUnknownError": StoreOutcomeUnknownError,
}


@dataclass(frozen=True, slots=True)
class CommandContext:
    """Options common to all commands."""

    hosts: tuple[str, ...]
    key: str
    json: bool
    tls_authority: str = ""


class AdminClient:
    """Client of the administration interface of hosts."""

    def __init__(self, session: aiohttp.ClientSession, context: CommandContext) -> None:
        self._session = session
        self._context = context
        self._tls_context = _tls_context(context.tls_authority)

    @property
    def addresses(self) -> tuple[str, ...]:
        return self._context.hosts

    async def call(
        self,
        address: str,
        method: str,
        path: str,
        timeout_s: float = READ_TIMEOUT_S,
        **kwargs: Any,
    ) -> dict[str, Any]:
        """Call one host and return the JSON object of its answer.

        Raises
        ------
        SiskinleverError
            If the host was not reached, did not answer within ``timeout_s``
            seconds, or refused the call.
        """
        headers = {"Authorization": f"Bearer {self._context.key}"}
        scheme = "https" if self._tls_context else "http"
        url = f"{scheme}://{address}{path}"
        try:
            async with asyncio.timeout(timeout_s):
                async with self._session.request(
                    method,
                    url,
                    headers=headers,
                    ssl=self._tls_context or True,
                    **kwargs,
                ) as response:
                    body: dict[str, Any] = await response.json()
        except aiohttp.ClientConnectorError as error:
            raise AdministrationError(
                f"{address} was not reached: {error}",
                UNREACHABLE_HINT,
                may_have_taken_effect=False,
            ) from error
        except TimeoutError as error:
            raise AdministrationError(
                f"{address} did not answer in {timeout_s:g} s", UNREACHABLE_HINT
            ) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise AdministrationError(
                f"{address}: {error!r}", UNREACHABLE_HINT
            ) from error
        if response.status != 200:
            raise _error_from_response(address, body)
        return body

    async def call_any(self, method: str, path: str, **kwargs: Any) -> dict[str, Any]:
        """Call one host after another until one answers.

        Only for calls that may be repeated.
        """
        last_error = AdministrationError("no host was given", UNREACHABLE_HINT)
        for address in self._context.hosts:
            try:
                return await self.call(address, method, path, **kwargs)
            except CallRefusedError:
                raise
            except AdministrationError as error:
                last_error = error
        raise last_error

    async def get_all(
        self, path: str, **kwargs: Any
    ) -> dict[str, dict[str, Any] | SiskinleverError]:
        """Read from all hosts; return the answer or the error by address."""
        results = await asyncio.gather(
            *(
                self.call(address, "GET", path, **kwargs)
                for address in self._context.hosts
            ),
            return_exceptions=True,
        )
        result_by_address: dict[str, dict[str, Any] | SiskinleverError] = {}
        for address, result in zip(self._context.hosts, results, strict=True):
            if isinstance(result, BaseException) and not isinstance(
                result, SiskinleverError
            ):
                raise result
            result_by_address[address] = result
        return result_by_address


@asynccontextmanager
async def admin_client(context: CommandContext) -> AsyncIterator[AdminClient]:
    """Provide an `AdminClient` that is closed at the end of the block."""
    async with http_session(pooled=False) as session:
        yield AdminClient(session, context)


def read_declaration(path: str) -> tuple[bytes, Declaration]:
    """Read and check the file of a declaration.

    Raises
    ------
    UsageError
        If the file cannot be read.
    DeclarationError
        If the declaration has faults.
    """
    try:
        content = Path(path).read_bytes()
    except OSError as error:
        raise UsageError(f"{path}: {error.strerror}", "specify a JSON file") from error
    declaration, faults = parse_document(Declaration, content)
    if declaration is None:
        raise DeclarationError([f"{path}: {fault}" for fault in faults])
    return content, declaration


def number_option(arguments: dict[str, Any], name: str) -> int | None:
    """Return the value of an integer option; raise `UsageError` if it is invalid."""
    value = arguments[name]
    if value is None:
        return None
    if not (value.isascii() and value.isdigit()):
        raise UsageError(f"{name}: found {value!r}, allowed: a whole number")
    return int(value)


def seconds_option(arguments: dict[str, Any], name: str) -> float:
    """Return the value in seconds of an option.

    Raises
    ------
    UsageError
        If the value is not a number from 0 to `MAX_WAIT_S`.
    """
    value = arguments[name]
    try:
        seconds = float(value)
    except ValueError:
        seconds = -1.0
    if not 0 <= seconds <= MAX_WAIT_S:
        raise UsageError(
            f"{name}: found {value!r}, allowed: a number of seconds from 0 to "
            f"{MAX_WAIT_S:g}, with no unit written"
        )
    return seconds


def print_json(value: object) -> None:
    """Print a value as indented JSON with sorted keys."""
    print(json.dumps(value, indent=2, sort_keys=True))


def print_by_host(
    context: CommandContext,
    results: Mapping[str, dict[str, Any] | SiskinleverError],
    describe: Callable[[dict[str, Any]], list[str]],
) -> int:
    """Print what each host answered, or why it didn't; return the exit code.

    Parameters
    ----------
    context : CommandContext
    results : mapping of str to dict or SiskinleverError
        By the address of the host.
    describe : callable
        Returns the lines for one answer; the first one follows the address.
    """
    if context.json:
        print_json(
            {
                address: {"error": found.message}
                if isinstance(found, SiskinleverError)
                else found
                for address, found in results.items()
            }
        )
    else:
        for address, found in results.items():
            if isinstance(found, SiskinleverError):
                print(f"{address}  unreachable: {found.message}")
            else:
                print(f"{address}  " + "\n".join(describe(found)))
    reached = all(not isinstance(r, SiskinleverError) for r in results.values())
    return ExitCode.OK if reached else ExitCode.UNREACHABLE


def _tls_context(authority: str) -> ssl.SSLContext | None:
    if not authority:
        return None
    try:
        return client_context(authority)
    except (OSError, ssl.SSLError) as error:
        raise UsageError(
            f"--tls-authority: found {authority!r}, which cannot be used: {error}",
            "specify a file with PEM certificates",
        ) from error


def _error_from_response(address: str, body: Any) -> SiskinleverError:
    error = body.get("error") if isinstance(body, dict) else None
    if not isinstance(error, dict) or "message" not in error:
        return AdministrationError(f"{address}: not an administration interface")
    if error.get("faults"):
        return DeclarationError(error["faults"])
    message = f"{address}: {error['message']}"
    error_type = ERROR_BY_CODE.get(str(error.get("code")))
    if error_type is None:
        hint = KEY_HINT if error.get("code") == "unauthorized" else ""
        return CallRefusedError(message, hint)
    return error_type(message, str(error.get("hint", "")))
