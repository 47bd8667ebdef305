"""Registry of engine adapters by address."""

from __future__ import annotations

import aiohttp

from .vllm import VllmEngine


class Engines:
    """Adapters to engines, created on first use.

    Parameters
    ----------
    pooled, unpooled : aiohttp.ClientSession
        Sessions that reuse connections, and that never do.
    """

    def __init__(
        self, pooled: aiohttp.ClientSession, unpooled: aiohttp.ClientSession
    ) -> None:
        self._pooled = pooled
        self._unpooled = unpooled
        self._by_address: dict[str, VllmEngine] = {}

    def at(self, address: str) -> VllmEngine:
        """Return the adapter for the engine at an address (IP address and port)."""
        engine = self._by_address.get(address)
        if engine is None:
            engine = VllmEngine(self._pooled, self._unpooled, address)
            self._by_address[address] = engine
        return engine
