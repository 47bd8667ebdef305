"""How much work callers ask of the engines of each service."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from ..models.ids import ServiceName
from ..utils.decay import DecayingSum

# Bursts last some seconds; the measure covers one and what is around it.
HALF_LIFE_S = 6.0


@dataclass(frozen=True, slots=True)
class Demand:
    """What is asked of one service's engines.

    Parameters
    ----------
    prompt_tokens_per_s : float
        That arrive.
    decode_tokens : float
        KV cache that generations in progress or waiting take in the end.
    """

    prompt_tokens_per_s: float = 0.0
    decode_tokens: float = 0.0


class DecayingRate:
    """Amounts a second, of which the old ones count less."""

    def __init__(self) -> None:
        self._amounts = DecayingSum(HALF_LIFE_S)

    def add(self, amount: float) -> None:
        """Count an amount now."""
        self._amounts.add(amount)

    def per_s(self) -> float:
        """Return the rate."""
        return self._amounts.value * math.log(2) / HALF_LIFE_S


class DemandMeter:
    """Measures this host's demand, by service."""

    def __init__(self) -> None:
        self._rate_by_service: dict[ServiceName, DecayingRate] = {}
        self._decode_by_service: dict[ServiceName, int] = defaultdict(int)

    @contextmanager
    def generation(
        self, service: ServiceName, prompt_tokens: int, decode_tokens: int
    ) -> Iterator[None]:
        """Count a generation, from its arrival to its end."""
        rate = self._rate_by_service.setdefault(service, DecayingRate())
        rate.add(prompt_tokens)
        self._decode_by_service[service] += decode_tokens
        try:
            yield
        finally:
            self._decode_by_service[service] -= decode_tokens

    def by_service(self) -> dict[ServiceName, Demand]:
        """Return the demand of each service that has any."""
        return {
            service: Demand(rate.per_s(), self._decode_by_service[service])
            for service, rate in self._rate_by_service.items()
        }
