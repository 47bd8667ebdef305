"""Registry of engine adapters by address."""

from __future__ import annotations

import aiohttp

from .vllm import VllmEngine


class Engines:
    """Adapters to engines, created on first use.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Must not reuse connections.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session
        self._by_address: dict[str, VllmEngine] = {}

    def at(self, address: str) -> VllmEngine:
        """Return the adapter for the engine at an address (IP address and port)."""
        engine = self._by_address.get(address)
        if engine is None:
            engine = VllmEngine(self._session, address)
            self._by_address[address] = engine
        return engine
