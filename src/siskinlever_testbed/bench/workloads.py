"""Workloads of both users: fleets, kinds of requests and arrivals."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any

from ..plans import ATELIER_ZONES, EnginePlan, FleetPlan, ServicePlan
from ..standins.answers import WORDS

FIRST_TOKEN_TARGET_S = 0.71
PER_TOKEN_TARGET_S = 0.068
DRAFT_DEADLINE_S = 15.0
BROSUR_ZONES = ("hall-a", "hall-b", "hall-c")


@dataclass(frozen=True, slots=True)
class RequestKind:
    """One kind of request.

    Parameters
    ----------
    name : str
        Name of the model or service.
    share : float
        Share of the arrivals.
    worth : float
        Worth of one answer that meets its targets.
    prefix_words, unique_words : int
        Number of words of the prompt that are shared with other requests, and
        of those that are not.
    prefixes : int
        Number of different prefixes.
    max_tokens : int
        Length of each answer in tokens, 0 for a plain service.
    deferrable : bool
        Whether the model is declared deferrable, with a deadline instead of a
        first-token target.
    service : bool
        Whether the request goes to a plain service instead of a model.
    """

    name: str
    share: float
    worth: float
    prefix_words: int = 0
    unique_words: int = 0
    prefixes: int = 1
    max_tokens: int = 0
    deferrable: bool = False
    service: bool = False

    @property
    def first_token_target_s(self) -> float:
        """Latest first token in seconds; for a deferrable kind, the draft deadline."""
        return DRAFT_DEADLINE_S if self.deferrable else FIRST_TOKEN_TARGET_S

    def model(self, pool: str) -> dict[str, Any]:
        """Return the entry of the model in the declaration."""
        return {
            "name": self.name,
            "pool": pool,
            "urgency": "deferrable" if self.deferrable else "interactive",
            "worth": self.worth,
            "first_token_s": FIRST_TOKEN_TARGET_S,
            "per_token_s": PER_TOKEN_TARGET_S,
            "answer_within_s": DRAFT_DEADLINE_S,
        }


@dataclass(frozen=True, slots=True)
class Workload:
    """The fleet of one user and the requests sent to it."""

    name: str
    zones: tuple[str, ...]
    engines: EnginePlan
    service: ServicePlan
    kinds: tuple[RequestKind, ...]

    @property
    def model_kinds(self) -> tuple[RequestKind, ...]:
        return tuple(kind for kind in self.kinds if not kind.service)

    def plan(self, policy: str) -> FleetPlan:
        """Return the plan of a fleet that runs a policy."""
        return FleetPlan(
            hosts=8,
            zones=self.zones,
            engines=(self.engines,),
            services=(self.service,),
            models=tuple(kind.model(self.engines.pool) for kind in self.model_kinds),
            workspaces=(self.name,),
            policy=policy,
        )


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request to send.

    Parameters
    ----------
    at_s : float
        Scheduled send time, in seconds since the start.
    cancel_after_s : float or None
        Seconds after which the caller cancels, or None.
    """

    request_id: str
    at_s: float
    kind: RequestKind
    prompt: str
    cancel_after_s: float | None = None


ENGINES = EnginePlan(
    "engines",
    prefill=2,
    decode=4,
    slots=20,
    prefill_rate=4000.0,
    token_time_s=0.05,
    retention_s=0.8,
    kv_bytes=131072,
    link_rate=4e9,
    load_lag_s=0.5,
)

ATELIER = Workload(
    "atelier",
    ATELIER_ZONES,
    replace(ENGINES, pool="critique-models", prefill=2, decode=4),
    ServicePlan("client-portal", runners=3),
    (
        RequestKind("critique", 0.46, 5.0, 1024, 400, prefixes=3, max_tokens=60),
        RequestKind("lookup", 0.46, 1.0, 0, 40, max_tokens=15),
        RequestKind("client-portal", 0.08, 2.0, service=True),
    ),
)

BROSUR = Workload(
    "brosur",
    BROSUR_ZONES,
    replace(ENGINES, pool="copy-llm", prefill=2, decode=3),
    ServicePlan("brochure-app", runners=3, idempotent=True),
    (
        RequestKind(
            "draft", 0.38, 3.0, 1216, 500, prefixes=4, max_tokens=70, deferrable=True
        ),
        RequestKind("lookup", 0.54, 1.0, 0, 40, max_tokens=15),
        RequestKind("brochure-app", 0.08, 0.5, service=True),
    ),
)

WORKLOAD_BY_NAME = {"atelier": ATELIER, "brosur": BROSUR}


def arrivals(
    workload: Workload,
    rate: float,
    duration_s: float,
    seed: int,
    cancel_share: float = 0.0,
) -> Iterator[Arrival]:
    """Generate the arrivals of a run as a Poisson process.

    The same seed gives the same arrivals, so that all policies get the same load.

    Parameters
    ----------
    workload : Workload
    rate : float
        Requests per second.
    duration_s : float
    seed : int
    cancel_share : float
        Share of callers that cancel their request within 2 s.
    """
    rng = random.Random(f"{workload.name}/{seed}")
    weights = [kind.share for kind in workload.kinds]
    at_s = 0.0
    number = 0
    while True:
        at_s += rng.expovariate(rate)
        if at_s >= duration_s:
            return
        kind = rng.choices(workload.kinds, weights)[0]
        cancels = rng.random() < cancel_share
        cancel_delay_s = rng.uniform(0.0, 2.0)
        number += 1
        yield Arrival(
            f"{workload.name}-{seed}-{number}",
            at_s,
            kind,
            _prompt(kind, rng),
            cancel_delay_s if cancels else None,
        )


def _prompt(kind: RequestKind, rng: random.Random) -> str:
    number = rng.randrange(kind.prefixes)
    shared = random.Random(f"{kind.name}/{number}").choices(WORDS, k=kind.prefix_words)
    unique = rng.choices(WORDS, k=kind.unique_words)
    return " ".join([*shared, *unique])
