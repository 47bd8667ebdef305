"""Seeded arrivals of generations, with bursts, as the deployments' files have them."""

from __future__ import annotations

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Burst:
    """More callers for some seconds.

    Parameters
    ----------
    at_s, for_s : float
    factor : float
        Of the usual rate.
    """

    at_s: float
    duration_s: float
    factor: float


@dataclass(frozen=True, slots=True)
class Sizes:
    """Log-normal sizes, cut at the largest.

    Parameters
    ----------
    mean, largest : float
    sigma : float
        Of the logarithm.
    """

    mean: float
    sigma: float
    largest: float

    def draw(self, random_: random.Random) -> float:
        """Return one size."""
        mu = math.log(self.mean) - self.sigma**2 / 2
        return min(self.largest, random_.lognormvariate(mu, self.sigma))


@dataclass(frozen=True, slots=True)
class Arrivals:
    """What callers ask for.

    Parameters
    ----------
    per_s : float
    length_s : float
    prompt, events : Sizes
    shared_prompt : int
        Tokens that all prompts begin with.
    tokens_per_event : int
    hint_sigma : float
        Of the logarithm of a caller's guess, relative to the real output.
    bursts : tuple of Burst
    """

    rate_per_s: float
    length_s: float
    prompt: Sizes
    events: Sizes
    shared_prompt: int
    tokens_per_event: int
    hint_sigma: float
    bursts: tuple[Burst, ...]

    @property
    def mean_size(self) -> float:
        """Size of the mean generation; see `Arrival.size`."""
        output = self.events.mean * self.tokens_per_event
        return self.shared_prompt + self.prompt.mean + OUTPUT_WEIGHT * output


# Share of a generation's worth that does not depend on its size, and what a
# token of output counts against one of the prompt; from the users' rules.
FIXED_WORTH = 0.3
OUTPUT_WEIGHT = 10.0


@dataclass(frozen=True, slots=True)
class Arrival:
    """One generation that a caller asks for.

    Parameters
    ----------
    at_s : float
    prompt, output, hint : int
        Tokens; `hint` is the caller's guess of `output`.
    worth : float
        1 for the mean generation.
    """

    at_s: float
    prompt: int
    output: int
    hint: int
    worth: float


def draw(arrivals: Arrivals, seed: int) -> Iterator[Arrival]:
    """Yield generations in the order of their arrival."""
    random_ = random.Random(seed)
    at_s = 0.0
    while True:
        at_s += random_.expovariate(arrivals.rate_per_s * _factor(arrivals, at_s))
        if at_s >= arrivals.length_s:
            return
        prompt = arrivals.shared_prompt + int(arrivals.prompt.draw(random_))
        events = max(1, round(arrivals.events.draw(random_)))
        output = events * arrivals.tokens_per_event
        hint = max(1, int(output * random_.lognormvariate(0.0, arrivals.hint_sigma)))
        size = prompt + OUTPUT_WEIGHT * output
        worth = FIXED_WORTH + (1 - FIXED_WORTH) * size / arrivals.mean_size
        yield Arrival(at_s, prompt, output, hint, worth)


def _factor(arrivals: Arrivals, at_s: float) -> float:
    factor = 1.0
    for burst in arrivals.bursts:
        if burst.at_s <= at_s < burst.at_s + burst.duration_s:
            factor *= burst.factor
    return factor
