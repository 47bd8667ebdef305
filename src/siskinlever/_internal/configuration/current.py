"""The configuration in force at this host; its generation never decreases."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from ..models.declaration import Declaration
from ..models.ids import ApplyId, Generation
from ..utils.clock import MS_PER_S, monotonic

# Less than the 17 s within which an accepted configuration is in force at all hosts.
STALE_AFTER_S = 15.0
# Seconds after which a caller should retry a request that was refused because the
# configuration is stale.
STALE_RETRY_S = 2.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """An accepted declaration.

    Parameters
    ----------
    generation : int
        Increases by one with each accepted apply.
    apply_id : str
    declaration : Declaration
    content : bytes
        The declaration's JSON, as sent to peers.
    store_version : int
        Version of the root record, or 0 if unknown.
    """

    generation: Generation
    apply_id: ApplyId
    declaration: Declaration
    content: bytes
    store_version: int


class CurrentConfiguration:
    """Holds the configuration in force and notifies listeners of changes."""

    def __init__(self) -> None:
        self._configuration: Configuration | None = None
        self._listeners: list[Callable[[Configuration], None]] = []
        self._confirmed_at = monotonic()
        self._available = asyncio.Event()

    @property
    def value(self) -> Configuration | None:
        return self._configuration

    @property
    def declaration(self) -> Declaration | None:
        return self._configuration.declaration if self._configuration else None

    @property
    def generation(self) -> Generation:
        return self._configuration.generation if self._configuration else Generation(0)

    def subscribe(self, listener: Callable[[Configuration], None]) -> None:
        """Call ``listener`` with each new configuration."""
        self._listeners.append(listener)

    def advance(self, configuration: Configuration) -> bool:
        """Put a configuration in force if it is newer; return whether it was."""
        if configuration.generation <= self.generation:
            return False
        self._configuration = configuration
        self._available.set()
        for listener in self._listeners:
            listener(configuration)
        return True

    async def wait_available(self) -> None:
        """Wait for the first configuration."""
        await self._available.wait()

    def confirm(self, age_s: float = 0.0) -> None:
        """Record that the configuration was current ``age_s`` seconds ago."""
        self._confirmed_at = max(self._confirmed_at, monotonic() - age_s)

    @property
    def current_age_s(self) -> float:
        """Seconds since the configuration was last confirmed to be current."""
        return monotonic() - self._confirmed_at

    @property
    def current_age_ms(self) -> int:
        return int(self.current_age_s * MS_PER_S)

    @property
    def is_stale(self) -> bool:
        """Whether a newer configuration may be in force at other hosts."""
        return self.current_age_s > STALE_AFTER_S
