"""This host's work in progress at each runner."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace

from ..models.upstreams import RunnerKey
from .hosts import RunnerLoad

IDLE = RunnerLoad()


class InProgress:
    """Requests and tokens in progress, by runner.

    Attributes
    ----------
    engine_changes : int
        Number of changes of the load at engines since the host started.
    """

    def __init__(self) -> None:
        self.load_by_runner: dict[RunnerKey, RunnerLoad] = {}
        self.engine_changes = 0
        self._listeners: list[Callable[[], None]] = []

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call a listener after each change of the load at engines."""
        self._listeners.append(listener)

    def load_of(self, runner: RunnerKey) -> RunnerLoad:
        """Return the load at a runner."""
        return self.load_by_runner.get(runner, IDLE)

    @contextmanager
    def request(self, runner: RunnerKey) -> Iterator[None]:
        """Count one request while the block runs."""
        yield from self._track_load(runner, RunnerLoad(requests=1))

    @contextmanager
    def decode(self, runner: RunnerKey, tokens: int) -> Iterator[None]:
        """Count one generation and its KV cache, in tokens, while the block runs."""
        yield from self._track_load(
            runner, RunnerLoad(requests=1, decode_tokens=tokens)
        )

    @contextmanager
    def prefill(self, runner: RunnerKey, tokens: int) -> Iterator[None]:
        """Count prompt tokens in prefill while the block runs."""
        yield from self._track_load(runner, RunnerLoad(prefill_tokens=tokens))

    def _track_load(self, runner: RunnerKey, load: RunnerLoad) -> Iterator[None]:
        self._add(runner, load, 1)
        try:
            yield
        finally:
            self._add(runner, load, -1)

    def _add(self, runner: RunnerKey, load: RunnerLoad, sign: int) -> None:
        before = self.load_of(runner)
        after = replace(
            before,
            requests=before.requests + sign * load.requests,
            decode_tokens=before.decode_tokens + sign * load.decode_tokens,
            prefill_tokens=before.prefill_tokens + sign * load.prefill_tokens,
        )
        if after == IDLE:
            self.load_by_runner.pop(runner, None)
        else:
            self.load_by_runner[runner] = after
        if load.is_at_engine:
            self.engine_changes += 1
            for listener in self._listeners:
                listener()
