"""Measures the demand of callers for the engines of each service."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from ..models.ids import ServiceName
from ..utils.decay import DecayingSum

# Bursts last several seconds; the average covers a burst and the time around it.
HALF_LIFE_S = 6.0


@dataclass(frozen=True, slots=True)
class Demand:
    """Demand for the engines of one service.

    Parameters
    ----------
    prompt_tokens_per_s : float
        Prompt tokens of arriving generations, per second.
    decode_tokens : float
        KV cache, in tokens, that generations in progress or waiting will occupy
        when they finish.
    """

    prompt_tokens_per_s: float = 0.0
    decode_tokens: float = 0.0


class DecayingRate:
    """An exponentially decaying average rate."""

    def __init__(self) -> None:
        self._amounts = DecayingSum(HALF_LIFE_S)

    def add(self, amount: float) -> None:
        """Add an amount that arrives now."""
        self._amounts.add(amount)

    def per_s(self) -> float:
        """Return the average amount per second."""
        return self._amounts.value * math.log(2) / HALF_LIFE_S


class DemandMeter:
    """Measures the demand of this host's callers, by service."""

    def __init__(self) -> None:
        self._rate_by_service: dict[ServiceName, DecayingRate] = {}
        self._decode_by_service: dict[ServiceName, int] = defaultdict(int)

    @contextmanager
    def generation(
        self, service: ServiceName, prompt_tokens: int, decode_tokens: int
    ) -> Iterator[None]:
        """Add the prompt to the arrival rate; count the KV cache while the block runs.

        Parameters
        ----------
        service : str
        prompt_tokens : int
            Length of the prompt.
        decode_tokens : int
            KV cache, in tokens, that the generation will occupy when it finishes.
        """
        rate = self._rate_by_service.setdefault(service, DecayingRate())
        rate.add(prompt_tokens)
        self._decode_by_service[service] += decode_tokens
        try:
            yield
        finally:
            self._decode_by_service[service] -= decode_tokens

    def by_service(self) -> dict[ServiceName, Demand]:
        """Return the demand for each service that received a generation."""
        return {
            service: Demand(rate.per_s(), self._decode_by_service[service])
            for service, rate in self._rate_by_service.items()
        }
