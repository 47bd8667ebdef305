"""The configuration in force at this host; its generation never goes down."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from ..models.declaration import Declaration
from ..models.ids import ApplyId, Generation
from ..utils.clock import MS_PER_S, monotonic

# Below the 17 s within which an accepted configuration is in force everywhere.
STALE_AFTER_S = 15.0
STALE_RETRY_S = 2.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One accepted declaration.

    Parameters
    ----------
    generation : int
        Grows by one with each apply that is accepted.
    apply_id : str
    declaration : Declaration
    content : bytes
        The declaration's JSON, as passed to peers.
    store_version : int
        Version of the root record; 0 if it is not known.
    """

    generation: Generation
    apply_id: ApplyId
    declaration: Declaration
    content: bytes
    store_version: int


class CurrentConfiguration:
    """Holds the configuration in force and tells listeners of each change."""

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
        """Put a configuration in force if it is newer; tell whether it is."""
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
        """Note that the configuration was current some seconds ago."""
        self._confirmed_at = max(self._confirmed_at, monotonic() - age_s)

    @property
    def current_age_s(self) -> float:
        """Seconds since the configuration was known to be current."""
        return monotonic() - self._confirmed_at

    @property
    def current_age_ms(self) -> int:
        return int(self.current_age_s * MS_PER_S)

    @property
    def is_stale(self) -> bool:
        """Whether a newer configuration may be in force elsewhere by now."""
        return self.current_age_s > STALE_AFTER_S
