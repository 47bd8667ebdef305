"""The interface that the router requires of an engine, whatever the engine's API."""

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
        Identifies the generation at the engine, for resuming and aborting.
    model, prompt : str
    max_tokens : int
    priority : int
        Lower values are served first.
    sampling : dict
        Additional parameters of the caller, passed on unchanged.
    first_index : int
        Index of the generation's first chunk in the whole answer; greater than 0
        if the prompt ends with text that another engine generated.
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
        Number of tokens in the prompt, and how many of them the engine had cached.
    """

    transfer: dict[str, Any]
    prompt_tokens: int
    cached_tokens: int


@dataclass(frozen=True, slots=True)
class Chunk:
    """A part of an answer.

    Parameters
    ----------
    index : int
        Position in the answer, starting at 0 and without gaps.
    text : str
    last : bool
        Whether the engine marked the answer as complete.
    finish_reason : str
        Empty until the engine reports one.
    """

    index: int
    text: str
    last: bool = False
    finish_reason: str = ""


@dataclass(frozen=True, slots=True)
class EngineLoadReport:
    """An engine's report of its load, which may be out of date.

    Parameters
    ----------
    running, waiting, slots : int
        Number of running generations, of queued generations, and of generations
        that can run at the same time.
    leaving : bool
        Whether the engine accepts no new work.
    request_ids : tuple of str
        Ids of the generations at the engine.
    """

    running: int
    waiting: int
    slots: int
    leaving: bool
    request_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class LoadedState:
    """The orders that an engine has carried out or is carrying out.

    Parameters
    ----------
    loaded, loading : dict
        Arguments of the completed orders, and of those in progress, by kind.
    fencing_token : int
        The highest token that the engine has received.
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
        """Continue to read a running generation, on a new connection.

        Parameters
        ----------
        engine_request_id : str
        after : int
            Index in the whole answer of the last chunk received, or -1.
        first_index : int
            Index of the generation's first chunk in the whole answer.

        Raises
        ------
        EngineError
        """
        ...

    async def abort(self, engine_request_id: str) -> None:
        """Abort a generation and release its resources; raises `EngineError`."""
        ...

    async def load(self) -> EngineLoadReport:
        """Fetch the engine's load report; raises `EngineError`."""
        ...

    async def order(
        self, kind: str, arguments: dict[str, Any], fencing_token: int
    ) -> None:
        """Order the engine to load something or to change its role.

        Parameters
        ----------
        kind : str
        arguments : dict
        fencing_token : int
            Lets the engine refuse an order of a host whose lease has lapsed.

        Raises
        ------
        EngineError
        """
        ...

    async def loaded(self) -> LoadedState:
        """Fetch the state of the engine's orders; raises `EngineError`."""
        ...
