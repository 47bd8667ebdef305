"""The adapters to all engines, by address."""

from __future__ import annotations

import aiohttp

from .vllm import VllmEngine


class Engines:
    """Adapters to engines, made when first used."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session
        self._by_address: dict[str, VllmEngine] = {}

    def at(self, address: str) -> VllmEngine:
        """Return the adapter to the engine at an address."""
        engine = self._by_address.get(address)
        if engine is None:
            engine = VllmEngine(self._session, address)
            self._by_address[address] = engine
        return engine
