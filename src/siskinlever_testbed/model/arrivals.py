"""Seeded random arrivals of generations with bursts, as in the users' site files.

A site file is a file in which the users describe a deployment.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Burst:
    """A period with a higher rate of arrivals.

    Parameters
    ----------
    at_s, duration_s : float
        Start, in seconds since the beginning of the simulation, and duration in
        seconds.
    factor : float
        Multiplies the usual rate.
    """

    at_s: float
    duration_s: float
    factor: float


@dataclass(frozen=True, slots=True)
class Sizes:
    """Log-normal distribution of sizes, limited to a maximum.

    Parameters
    ----------
    mean, largest : float
        Mean before the limit is applied, and the limit.
    sigma : float
        Standard deviation of the logarithm.
    """

    mean: float
    sigma: float
    largest: float

    def draw(self, random_: random.Random) -> float:
        """Return a random size, at most `largest`."""
        mu = math.log(self.mean) - self.sigma**2 / 2
        return min(self.largest, random_.lognormvariate(mu, self.sigma))


@dataclass(frozen=True, slots=True)
class Arrivals:
    """Parameters of the random arrivals.

    Parameters
    ----------
    rate_per_s : float
        Mean number of arrivals per second outside bursts.
    length_s : float
        Seconds after which no generation arrives.
    prompt, events : Sizes
        Prompt tokens beyond `shared_prompt`, and events of output.
    shared_prompt : int
        Tokens of the prefix that all prompts share.
    tokens_per_event : int
        Output tokens of each event.
    hint_sigma : float
        Standard deviation of the logarithm of the ratio of a caller's length hint to
        the actual output.
    bursts : tuple of Burst
    urgent_share : float, default=0.0
        Share of the generations that are of the more urgent route.
    urgent_worth : float, default=1.0
        Factor of their worth.
    """

    rate_per_s: float
    length_s: float
    prompt: Sizes
    events: Sizes
    shared_prompt: int
    tokens_per_event: int
    hint_sigma: float
    bursts: tuple[Burst, ...]
    urgent_share: float = 0.0
    urgent_worth: float = 1.0

    @property
    def mean_size(self) -> float:
        """Size of the mean generation: prompt tokens plus weighted output tokens."""
        output = self.events.mean * self.tokens_per_event
        return self.shared_prompt + self.prompt.mean + OUTPUT_WEIGHT * output


# Share of a generation's worth that does not depend on its size, and the weight
# of an output token relative to a prompt token. Both come from the users' rules.
FIXED_WORTH = 0.3
OUTPUT_WEIGHT = 10.0


@dataclass(frozen=True, slots=True)
class Arrival:
    """One generation that a caller requests.

    Parameters
    ----------
    at_s : float
        Seconds from the beginning of the simulation.
    prompt, output, hint : int
        Tokens; `hint` is the caller's estimate of `output`.
    worth : float
        Worth of an on-time answer, relative to that of the mean generation.
    is_urgent : bool, default=False
        Whether it is of the more urgent route.
    """

    at_s: float
    prompt: int
    output: int
    hint: int
    worth: float
    is_urgent: bool = False


def draw(arrivals: Arrivals, seed: int) -> Iterator[Arrival]:
    """Yield generations in order of arrival, the same for the same seed."""
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
        is_urgent = (
            arrivals.urgent_share > 0 and random_.random() < arrivals.urgent_share
        )
        worth *= arrivals.urgent_worth if is_urgent else 1.0
        yield Arrival(at_s, prompt, output, hint, worth, is_urgent)


def _factor(arrivals: Arrivals, at_s: float) -> float:
    factor = 1.0
    for burst in arrivals.bursts:
        if burst.at_s <= at_s < burst.at_s + burst.duration_s:
            factor *= burst.factor
    return factor
