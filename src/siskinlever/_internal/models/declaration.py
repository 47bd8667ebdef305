"""The declaration that operators apply to the whole fleet (`--settings`)."""

from __future__ import annotations

from enum import StrEnum
from functools import cached_property
from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field, model_validator
from pydantic_core import PydanticCustomError

from .addresses import Address, KeyDigest, Name
from .references import reference_faults


class StrictModel(BaseModel):
    """Base model that rejects unknown fields and does not convert types."""

    model_config = ConfigDict(
        extra="forbid", strict=True, frozen=True, allow_inf_nan=False
    )


class Role(StrEnum):
    """Stage of a generation that a runner of an engine pool serves.

    On the platform, `upstreams.Stage` has the same meaning.
    """

    PREFILL = "prefill"
    DECODE = "decode"


class Urgency(StrEnum):
    """Whether a caller waits for the answer interactively."""

    INTERACTIVE = "interactive"
    DEFERRABLE = "deferrable"


class Runner(StrictModel):
    """One runner of an engine pool.

    Parameters
    ----------
    name : str
    address : str
        IP address and port of the engine's HTTP interface.
    zone : str
    role : Role
    slots : int
        Largest number of requests that a decode runner processes concurrently.
    prefill_tokens_per_s : float
        Prompt tokens that a prefill runner processes per second.
    transfer_bytes_per_s : float
        Bytes of KV cache that a prefill runner sends per second.
    checks_fencing : bool
        Whether the engine rejects orders with an outdated fencing token.
    leaving : bool
        Whether the runner is excluded from new work.
    version : str or None
        Version that the engine is ordered to load.
    adapters : tuple of str
        Adapters that the engine is ordered to load.
    """

    name: Name
    address: Address
    zone: Name
    role: Annotated[Role, Field(strict=False)]
    slots: Annotated[int, Field(ge=1, le=4096)] = 20
    prefill_tokens_per_s: Annotated[float, Field(gt=0)] = 8000.0
    transfer_bytes_per_s: Annotated[float, Field(gt=0)] = 1e9
    checks_fencing: bool = True
    leaving: bool = False
    version: str | None = None
    adapters: tuple[Name, ...] = Field(default=(), strict=False)


class ServiceRunner(StrictModel):
    """One runner of a plain service."""

    name: Name
    address: Address
    zone: Name
    concurrency: Annotated[int, Field(ge=1, le=65536)] = 64
    leaving: bool = False


class EnginePool(StrictModel):
    """Prefill and decode runners that serve the same weights.

    Parameters
    ----------
    kv_bytes_per_token : int
        Size in bytes of the KV cache of one token.
    concurrent_loads : int
        Largest number of runners that read from the weight store concurrently.
    """

    name: Name
    runners: tuple[Runner, ...] = Field(min_length=1, strict=False)
    kv_bytes_per_token: Annotated[int, Field(ge=1)] = 131072
    concurrent_loads: Annotated[int, Field(ge=1, le=1024)] = 1


class Model(StrictModel):
    """A model that callers select by name, with its latency targets.

    Parameters
    ----------
    name : str
        Value of the ``model`` field in requests.
    first_token_s, per_token_s : float
        Latency targets in seconds: time to the first token, and time per
        further token.
    answer_within_s : float
        Seconds within which a deferrable request is answered in full.
    worth : float
        Weight of a request that is answered within its targets.
    """

    name: Name
    pool: Name
    urgency: Annotated[Urgency, Field(strict=False)] = Urgency.INTERACTIVE
    worth: Annotated[float, Field(gt=0)] = 1.0
    first_token_s: Annotated[float, Field(gt=0, le=3600)] = 0.71
    per_token_s: Annotated[float, Field(gt=0, le=60)] = 0.068
    answer_within_s: Annotated[float, Field(gt=0, le=604800)] = 86400.0
    max_prompt_tokens: Annotated[int, Field(ge=1)] = 65536
    max_tokens: Annotated[int, Field(ge=1)] = 4096


class Service(StrictModel):
    """A plain service and its runners."""

    name: Name
    runners: tuple[ServiceRunner, ...] = Field(min_length=1, strict=False)
    idempotent: bool = False
    worth: Annotated[float, Field(gt=0)] = 1.0
    timeout_s: Annotated[float, Field(gt=0, le=3600)] = 30.0


class Limits(StrictModel):
    """Rate and concurrency limits of one workspace."""

    requests_per_s: Annotated[float, Field(gt=0)] = 100.0
    burst: Annotated[int, Field(ge=1)] = 200
    concurrent: Annotated[int, Field(ge=1)] = 256


class Workspace(StrictModel):
    """A customer with its key digests, limits and permissions.

    All models are allowed if ``models`` is None, and all services if
    ``services`` is None.
    """

    name: Name
    key_digests: tuple[KeyDigest, ...] = Field(min_length=1, strict=False)
    limits: Limits = Limits()
    models: tuple[Name, ...] | None = Field(default=None, strict=False)
    services: tuple[Name, ...] | None = Field(default=None, strict=False)


class LeavingHost(StrictModel):
    """A host that operators are taking out of service."""

    name: Name


class Declaration(StrictModel):
    """The complete declaration, which is always applied as a whole."""

    version: Literal[1]
    engine_pools: tuple[EnginePool, ...] = Field(default=(), strict=False)
    models: tuple[Model, ...] = Field(default=(), strict=False)
    services: tuple[Service, ...] = Field(default=(), strict=False)
    workspaces: tuple[Workspace, ...] = Field(default=(), strict=False)
    leaving_hosts: tuple[LeavingHost, ...] = Field(default=(), strict=False)

    @cached_property
    def pool_by_name(self) -> dict[str, EnginePool]:
        return {pool.name: pool for pool in self.engine_pools}

    @cached_property
    def model_by_name(self) -> dict[str, Model]:
        return {model.name: model for model in self.models}

    @cached_property
    def service_by_name(self) -> dict[str, Service]:
        return {service.name: service for service in self.services}

    @cached_property
    def workspace_by_key_digest(self) -> dict[str, Workspace]:
        return {
            digest: workspace
            for workspace in self.workspaces
            for digest in workspace.key_digests
        }

    @cached_property
    def runner_by_name(self) -> dict[str, Runner]:
        return {
            runner.name: runner for pool in self.engine_pools for runner in pool.runners
        }

    @staticmethod
    def reference_faults(raw: Any) -> list[str]:
        """Return the duplicate names and dangling references in parsed JSON."""
        return reference_faults(raw)

    @model_validator(mode="after")
    def _check_references(self) -> Declaration:
        faults = reference_faults(self.model_dump(mode="json"))
        if faults:
            raise PydanticCustomError(
                "references", "{faults}", {"faults": "\n".join(faults)}
            )
        return self
