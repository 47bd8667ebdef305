"""What the router needs of an engine, whatever its dialect."""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any, Protocol


@dataclass(frozen=True, slots=True)
class EngineCall:
    """One generation at an engine.

    Parameters
    ----------
    engine_request_id : str
        Names the generation at the engine, for resuming and cancelling.
    model, prompt : str
    max_tokens : int
    priority : int
        The lowest is served first.
    sampling : dict
        Further parameters of the caller, passed on unchanged.
    first_index : int
        Index that the generation's first chunk has in the whole answer; more
        than 0 if the prompt ends with what another engine produced.
    """

    engine_request_id: str
    model: str
    prompt: str
    max_tokens: int
    priority: int
    sampling: dict[str, Any]
    first_index: int = 0


@dataclass(frozen=True, slots=True)
class PrefillResult:
    """The result of a prefill.

    Parameters
    ----------
    transfer : dict
        What the decode engine needs to import the KV cache.
    prompt_tokens, cached_tokens : int
        Tokens of the prompt, and those that the engine had in its cache.
    """

    transfer: dict[str, Any]
    prompt_tokens: int
    cached_tokens: int


@dataclass(frozen=True, slots=True)
class Chunk:
    """A piece of an answer.

    Parameters
    ----------
    index : int
        Position in the answer, from 0, with no gaps.
    text : str
    last : bool
        Whether the engine marked the answer as complete.
    finish_reason : str
    """

    index: int
    text: str
    last: bool = False
    finish_reason: str = ""


@dataclass(frozen=True, slots=True)
class EngineLoadReport:
    """What an engine said of itself, some time ago."""

    running: int
    waiting: int
    slots: int
    leaving: bool
    request_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class LoadedState:
    """What an engine has loaded.

    Parameters
    ----------
    loaded, loading : dict
        Arguments of the orders carried out, and of those under way, by kind.
    fencing_token : int
        The highest that the engine saw.
    """

    loaded: dict[str, Any]
    loading: dict[str, Any]
    fencing_token: int


class Engine(Protocol):
    """An adapter to one engine."""

    async def prefill(self, call: EngineCall, timeout_s: float) -> PrefillResult:
        """Process a prompt and export its KV cache; raises `EngineError`."""
        ...

    def decode(
        self, call: EngineCall, prefilled: PrefillResult
    ) -> AsyncIterator[Chunk]:
        """Import a KV cache and generate; raises `EngineError`."""
        ...

    def resume(
        self, engine_request_id: str, after: int, first_index: int = 0
    ) -> AsyncIterator[Chunk]:
        """Read on a running generation, on a new connection.

        Parameters
        ----------
        engine_request_id : str
        after : int
            Index in the whole answer of the last chunk held, or -1.
        first_index : int
            Index of the generation's first chunk in the whole answer.
        """
        ...

    async def abort(self, engine_request_id: str) -> None:
        """Release all that the engine holds for a generation."""
        ...

    async def load(self) -> EngineLoadReport:
        """Read the engine's load report."""
        ...

    async def order(
        self, kind: str, arguments: dict[str, Any], fencing_token: int
    ) -> None:
        """Order the engine to load something or to change its role."""
        ...

    async def loaded(self) -> LoadedState:
        """Read what the engine has loaded."""
        ...
