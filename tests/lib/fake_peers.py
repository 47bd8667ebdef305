"""In-memory calls between hosts; the test decides how each ends."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from siskinlever._internal.exceptions import PeerError


class CallOutcome(Enum):
    """How a call ends."""

    SERVED = "served"
    SERVED_TWICE = "served_twice"
    ANSWER_LOST = "answer_lost"
    REQUEST_LOST = "request_lost"


@dataclass(slots=True)
class PeerCall:
    """A call in transit; it can still be served after its caller has timed out."""

    sender: str
    target: str
    rpc: str
    message: Any
    answer: asyncio.Future[Any] = field(default_factory=asyncio.Future)


class Network:
    """Holds the calls between hosts until the test settles them.

    `ready` excludes calls from or to a frozen host.
    """

    def __init__(self) -> None:
        self.handler_by_host: dict[str, dict[str, Any]] = {}
        self.calls: list[PeerCall] = []
        self.frozen: set[str] = set()

    @property
    def ready(self) -> list[PeerCall]:
        return [c for c in self.calls if not {c.sender, c.target} & self.frozen]

    def settle(self, call: PeerCall, fate: CallOutcome) -> None:
        """End a call with the given fate; the event loop must be running."""
        self.calls.remove(call)
        if fate is CallOutcome.REQUEST_LOST:
            _fail(call)
            return
        asyncio.create_task(self._serve(call, fate))

    async def _serve(self, call: PeerCall, fate: CallOutcome) -> None:
        handler = self.handler_by_host[call.target][call.rpc]
        reply = await handler(call.message)
        if fate is CallOutcome.SERVED_TWICE:
            reply = await handler(call.message)
        if fate is CallOutcome.ANSWER_LOST:
            _fail(call)
        elif not call.answer.done():
            call.answer.set_result(reply)


class FakePeers:
    """Fake `Peers` that implements only ``call``."""

    def __init__(self, network: Network, own: str) -> None:
        self._network = network
        self._own = own

    async def call(
        self, host: str, rpc: str, message: Any, timeout_s: float = 0.5
    ) -> Any:
        call = PeerCall(self._own, host, rpc, message)
        self._network.calls.append(call)
        try:
            async with asyncio.timeout(2 * timeout_s):
                return await call.answer
        except TimeoutError as error:
            raise PeerError(rpc) from error


def _fail(call: PeerCall) -> None:
    if not call.answer.done():
        call.answer.set_exception(PeerError(call.rpc))
