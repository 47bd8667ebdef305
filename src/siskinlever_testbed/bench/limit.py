"""Upper bound of the worth per second that a pool can serve.

It assumes optimal scheduling with full knowledge of the load and is computed
from the settings of the stand-ins alone: the prefill time, with every shared
prefix cached, and the decode slots, which are held during the KV transfer and
until the last token.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from itertools import product

from ..plans import EnginePlan
from ..standins.engine_parts import PREFIX_BLOCK_TOKENS
from .workloads import RequestKind, Workload

TOLERANCE = 1e-9


@dataclass(frozen=True, slots=True)
class Demand:
    """Offered load and resource use of one kind of request.

    Parameters
    ----------
    rate : float
        Requests offered per second.
    worth : float
        Worth of one request.
    prefill_s : float
        Seconds that one request occupies a prefill runner.
    decode_s : float
        Seconds that one request holds a decode slot.
    """

    rate: float
    worth: float
    prefill_s: float
    decode_s: float


def demand(kind: RequestKind, engines: EnginePlan, rate: float) -> Demand:
    """Return the demand of one kind of request, at `rate` requests per second."""
    cached = kind.prefix_words // PREFIX_BLOCK_TOKENS * PREFIX_BLOCK_TOKENS
    prompt = kind.prefix_words + kind.unique_words
    transfer_s = prompt * engines.kv_bytes / engines.link_rate
    return Demand(
        rate,
        kind.worth,
        (prompt - cached) / engines.prefill_rate,
        transfer_s + kind.max_tokens * engines.token_time_s,
    )


def capacity(workload: Workload) -> float:
    """Return the requests per second that fully use the scarcest resource.

    The rate includes calls to plain services, which use none of the pool.
    """
    engines = workload.engines
    demands = [demand(k, engines, k.share) for k in workload.model_kinds]
    prefill = sum(d.rate * d.prefill_s for d in demands)
    decode = sum(d.rate * d.decode_s for d in demands)
    return min(engines.prefill / prefill, engines.decode * engines.slots / decode)


def limit(workload: Workload, rate: float) -> float:
    """Return the highest possible worth per second at an offered rate.

    Plain services are never the bottleneck, so all their offered calls count.
    """
    engines = workload.engines
    offered = sum(k.share * rate * k.worth for k in workload.kinds if k.service)
    demands = [demand(k, engines, k.share * rate) for k in workload.model_kinds]
    return offered + best_worth(
        demands, engines.prefill, engines.decode * engines.slots
    )


def best_worth(demands: Sequence[Demand], prefill_s: float, decode_s: float) -> float:
    """Return the worth per second of the best feasible mix of requests.

    Solves the linear program by enumerating its vertices. With two resources,
    a vertex has at most two kinds of requests that are served in part; all
    others are served completely or not at all.

    Parameters
    ----------
    demands : sequence of Demand
    prefill_s, decode_s : float
        Available seconds of prefill runners and decode slots per second.
    """
    return max(
        sum(rate * d.worth for rate, d in zip(rates, demands, strict=True))
        for rates in _vertices(demands, prefill_s, decode_s)
        if _is_feasible(rates, demands, prefill_s, decode_s)
    )


def _is_feasible(
    rates: Sequence[float],
    demands: Sequence[Demand],
    prefill_s: float,
    decode_s: float,
) -> bool:
    pairs = list(zip(rates, demands, strict=True))
    return (
        all(-TOLERANCE <= rate <= d.rate + TOLERANCE for rate, d in pairs)
        and sum(rate * d.prefill_s for rate, d in pairs) <= prefill_s + TOLERANCE
        and sum(rate * d.decode_s for rate, d in pairs) <= decode_s + TOLERANCE
    )


def _vertices(
    demands: Sequence[Demand], prefill_s: float, decode_s: float
) -> Iterator[list[float]]:
    for assignment in product((0, 1, None), repeat=len(demands)):
        rates = [
            d.rate * (share_taken or 0)
            for share_taken, d in zip(assignment, demands, strict=True)
        ]
        partial = [i for i, share_taken in enumerate(assignment) if share_taken is None]
        remaining_prefill_s = prefill_s - sum(
            r * d.prefill_s for r, d in zip(rates, demands, strict=True)
        )
        remaining_decode_s = decode_s - sum(
            r * d.decode_s for r, d in zip(rates, demands, strict=True)
        )
        for solution in _solutions(
            [demands[i] for i in partial], remaining_prefill_s, remaining_decode_s
        ):
            for i, rate in zip(partial, solution, strict=True):
                rates[i] = rate
            yield list(rates)


def _solutions(
    partial: Sequence[Demand], prefill_s: float, decode_s: float
) -> Iterator[tuple[float, ...]]:
    if not partial:
        yield ()
    if len(partial) == 1:
        yield (prefill_s / partial[0].prefill_s,)
        yield (decode_s / partial[0].decode_s,)
    if len(partial) == 2:
        a, b = partial
        determinant = a.prefill_s * b.decode_s - b.prefill_s * a.decode_s
        if abs(determinant) > TOLERANCE:
            yield (
                (prefill_s * b.decode_s - b.prefill_s * decode_s) / determinant,
                (a.prefill_s * decode_s - prefill_s * a.decode_s) / determinant,
            )
