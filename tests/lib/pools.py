"""Pools, models and reservation requests for tests of admission."""

from __future__ import annotations

from itertools import count

from siskinlever._internal.models.declaration import EnginePool, Model, Runner
from siskinlever._internal.models.ids import (
    HostName,
    Incarnation,
    RequestId,
    ReservationId,
)
from siskinlever._internal.routing.reservations import ReservationRequest

PREFILL_TOKENS_PER_S = 1000.0
_numbers = count()


def pool(prefill: int = 1, decode: int = 1, slots: int = 2) -> EnginePool:
    """Return a pool whose links have a negligible transfer time."""
    ports = count(1)
    names = [("p", "prefill", prefill), ("d", "decode", decode)]
    runners = tuple(
        Runner(
            name=f"{letter}{number}",
            address=f"127.0.0.1:{next(ports)}",
            zone="hall-a",
            role=role,
            slots=slots,
            prefill_tokens_per_s=PREFILL_TOKENS_PER_S,
            transfer_bytes_per_s=1e15,
        )
        for letter, role, runner_count in names
        for number in range(runner_count)
    )
    return EnginePool(name="copy-llm", runners=runners)


def model(name: str = "lookup", **fields: object) -> Model:
    """Return a model served by the pool."""
    return Model.model_validate({"name": name, "pool": "copy-llm", **fields})


def request(
    served_model: Model,
    due: float,
    prompt_tokens: int = 100,
    max_tokens: int = 20,
    prefix: tuple[int, ...] = (),
    host: str = "host-1",
) -> ReservationRequest:
    """Return a reservation request with a unique id."""
    number = next(_numbers)
    return ReservationRequest(
        ReservationId(f"r{number}"),
        RequestId(f"q{number}"),
        HostName(host),
        Incarnation(1),
        served_model,
        prompt_tokens,
        max_tokens,
        prefix,
        due,
    )
