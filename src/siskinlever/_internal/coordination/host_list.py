"""Client of the host list, in the Prometheus HTTP service discovery format."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import aiohttp

from ..exceptions import HostListError

CALL_TIMEOUT_S = 2.0
LEAVING_STATE = "leaving"


@dataclass(frozen=True, slots=True)
class ListedHost:
    """An entry of the host list.

    Parameters
    ----------
    name : str
    zone : str
    peer_address, callers_address : str
        Empty for runners.
    leaving : bool
    """

    name: str
    zone: str
    peer_address: str
    callers_address: str
    leaving: bool


class HostListClient:
    """Reads the host list."""

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = url

    async def read(self) -> list[ListedHost]:
        """Read all entries, including runners.

        Raises
        ------
        HostListError
            If the list cannot be read or an entry is not valid.
        """
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                async with self._session.get(self._url) as response:
                    response.raise_for_status()
                    groups = await response.json()
            return [_parse_host(group["labels"]) for group in groups]
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            raise HostListError(f"host list: {error!r}") from error
        except (KeyError, TypeError) as error:
            raise HostListError(f"host list has an invalid entry: {error!r}") from error


def _parse_host(labels: dict[str, str]) -> ListedHost:
    return ListedHost(
        name=labels["host"],
        zone=labels["zone"],
        peer_address=labels.get("peer_address", ""),
        callers_address=labels.get("callers_address", ""),
        leaving=labels.get("state") == LEAVING_STATE,
    )
