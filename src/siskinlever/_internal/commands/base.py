"""What all commands share."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import aiohttp

from ..exceptions import (
    AdministrationError,
    ConflictError,
    DeclarationError,
    SiskinleverError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    UsageError,
)
from ..models.declaration import Declaration
from ..network.sessions import http_session
from ..utils.validation import parse_json

CALL_TIMEOUT_S = 10.0

ERROR_BY_CODE: dict[str, type[SiskinleverError]] = {
    "ConflictError": ConflictError,
    "StoreUnavailableError": StoreUnavailableError,
    "StoreOutcomeUnknownError": StoreOutcomeUnknownError,
}


@dataclass(frozen=True, slots=True)
class CommandContext:
    """Options that hold for each command."""

    hosts: tuple[str, ...]
    key: str
    json: bool
    tls_authority: str = ""


class Administration:
    """Calls the administration interface of hosts."""

    def __init__(self, session: aiohttp.ClientSession, context: CommandContext) -> None:
        self._session = session
        self._context = context

    async def call(
        self, address: str, method: str, path: str, **kwargs: Any
    ) -> dict[str, Any]:
        """Call one host; raises `SiskinleverError`."""
        headers = {"Authorization": f"Bearer {self._context.key}"}
        url = f"http://{address}{path}"
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                async with self._session.request(
                    method, url, headers=headers, **kwargs
                ) as response:
                    body: dict[str, Any] = await response.json()
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            raise AdministrationError(f"{address}: {error!r}") from error
        if response.status != 200:
            raise _error(address, body["error"])
        return body

    async def first(self, method: str, path: str, **kwargs: Any) -> dict[str, Any]:
        """Call the first host that answers.

        Only for calls that may be repeated.
        """
        cause: SiskinleverError = AdministrationError("no host is named")
        for address in self._context.hosts:
            try:
                return await self.call(address, method, path, **kwargs)
            except AdministrationError as error:
                cause = error
        raise cause

    async def all(self, path: str) -> dict[str, dict[str, Any] | SiskinleverError]:
        """Read from all hosts; those that fail give their error."""
        results = await asyncio.gather(
            *(self.call(address, "GET", path) for address in self._context.hosts),
            return_exceptions=True,
        )
        by_address: dict[str, dict[str, Any] | SiskinleverError] = {}
        for address, result in zip(self._context.hosts, results, strict=True):
            if isinstance(result, BaseException) and not isinstance(
                result, SiskinleverError
            ):
                raise result
            by_address[address] = result
        return by_address


@asynccontextmanager
async def administration(context: CommandContext) -> AsyncIterator[Administration]:
    """Open the administration interface for the length of a block."""
    async with http_session(pooled=False) as session:
        yield Administration(session, context)


def read_declaration(path: str) -> tuple[bytes, Declaration]:
    """Read and check a declaration's file; raises `DeclarationError`."""
    try:
        content = Path(path).read_bytes()
    except OSError as error:
        raise UsageError(f"{path}: {error.strerror}") from error
    declaration, faults = parse_json(Declaration, content)
    if declaration is None:
        raise DeclarationError([f"{path}: {fault}" for fault in faults])
    return content, declaration


def print_json(value: object) -> None:
    """Print a value as JSON."""
    print(json.dumps(value, indent=2, sort_keys=True))


def _error(address: str, error: dict[str, Any]) -> SiskinleverError:
    if error["faults"]:
        return DeclarationError(error["faults"])
    kind = ERROR_BY_CODE.get(error["code"], AdministrationError)
    return kind(f"{address}: {error['message']}")
