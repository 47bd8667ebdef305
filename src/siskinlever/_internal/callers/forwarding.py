"""Forwards whole requests to a live peer while this host is leaving.

Callers cache the result of a host lookup and can still connect to this host. A
request is forwarded at most once: a peer that is also leaving serves it itself.
"""

from __future__ import annotations

import asyncio
import hmac
import random
import ssl
from typing import Any

import aiohttp
from sanic import Request
from sanic.response import HTTPResponse

from ..membership.members import Member, MemberState, MemberTable
from ..metrics.registry import Metrics
from ..models.outcome import Failed, Reason
from ..network.sessions import CALL_ERRORS
from ..services.client import UNFORWARDED_HEADERS
from ..utils.digests import key_digest
from .errors import failure_response

FORWARDED_HEADER = "X-Siskinlever-Forwarded"
MAX_PEERS_TRIED = 3
PEER_CHECK_PERIOD_S = 0.5
DROPPED_BETWEEN_HOSTS = (UNFORWARDED_HEADERS - {"authorization"}) | {
    FORWARDED_HEADER.lower()
}


class Forwarder:
    """Forwards requests to peers.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Not pooled, so that a failed connect proves that the request was not run.
    members : MemberTable
    peer_key : str
        Key shared by all hosts; the forwarding token, which shows that a host
        forwarded the request, is derived from it.
    metrics : Metrics
    tls : ssl.SSLContext or None
        None if the callers' interfaces do not use TLS.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        members: MemberTable,
        peer_key: str,
        metrics: Metrics,
        tls: ssl.SSLContext | None,
    ) -> None:
        self._session = session
        self._members = members
        self._forwarding_token = key_digest(f"forward/{peer_key}")
        self._metrics = metrics
        self._tls = tls
        self.in_progress = 0

    def must_forward(self, request: Request) -> bool:
        """Return whether a request must be forwarded.

        True while this host is leaving, unless another host has already forwarded
        the request.
        """
        if not self._members.own.leaving:
            return False
        forwarding_token = request.headers.get(FORWARDED_HEADER, "")
        return not hmac.compare_digest(
            forwarding_token.encode(errors="replace"), self._forwarding_token.encode()
        )

    async def forward(self, request: Request) -> tuple[bool, HTTPResponse | None]:
        """Forward a request to a peer and relay the answer.

        Returns
        -------
        forwarded : bool
            False if no peer could be reached; the request was then not sent.
        response : HTTPResponse or None
            None if the answer was streamed.
        """
        self.in_progress += 1
        try:
            for peer in self._peers()[:MAX_PEERS_TRIED]:
                try:
                    answer = await self._send(request, peer)
                except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
                    self._metrics.count("forwards_unreached")
                    continue
                except CALL_ERRORS as error:
                    return True, _broken_response(error)
                self._metrics.count("requests_forwarded")
                await self._relay(request, peer, answer)
                return True, None
            return False, None
        finally:
            self.in_progress -= 1

    def _peers(self) -> list[Member]:
        """Return the peers that accept work, those in this zone first."""
        own = self._members.own
        peers = [
            m
            for m in self._members.alive()
            if m.state is MemberState.ALIVE and not m.leaving and m.host != own.host
        ]
        random.shuffle(peers)
        return sorted(peers, key=lambda m: m.zone != own.zone)

    async def _send(self, request: Request, peer: Member) -> aiohttp.ClientResponse:
        headers = [
            (name, value)
            for name, value in request.headers.items()
            if name.lower() not in DROPPED_BETWEEN_HOSTS
        ]
        query = f"?{request.query_string}" if request.query_string else ""
        scheme = "https" if self._tls else "http"
        call = self._session.request(
            request.method,
            f"{scheme}://{peer.callers_address}{request.path}{query}",
            headers=[*headers, (FORWARDED_HEADER, self._forwarding_token)],
            data=request.body,
            allow_redirects=False,
            ssl=self._tls or True,
        )
        sending = asyncio.ensure_future(call)
        watch = asyncio.ensure_future(self._wait_until_dead(peer))
        try:
            await asyncio.wait({sending, watch}, return_when=asyncio.FIRST_COMPLETED)
            if not sending.done():
                raise aiohttp.ClientConnectionError(f"host {peer.host} is dead")
            return await sending
        finally:
            watch.cancel()
            sending.cancel()

    async def _relay(
        self, request: Request, peer: Member, answer: aiohttp.ClientResponse
    ) -> None:
        """Relay an answer as it arrives.

        If the answer ends early, the caller's connection is aborted, so that the
        caller cannot mistake a partial answer for a complete one.
        """
        headers = {
            name: value
            for name, value in answer.headers.items()
            if name.lower() not in UNFORWARDED_HEADERS
            and name.lower() != "content-type"
        }
        watch = asyncio.ensure_future(self._close_when_dead(peer, answer))
        try:
            response: Any = await request.respond(
                status=answer.status,
                headers=headers,
                content_type=answer.headers.get("Content-Type", ""),
            )
            async for piece in answer.content.iter_any():
                await response.send(piece)
            await response.eof()
        except CALL_ERRORS:
            self._metrics.count("forwards_broken")
            transport: Any = request.transport
            if transport is not None:
                transport.abort()
        finally:
            watch.cancel()
            answer.close()

    async def _wait_until_dead(self, peer: Member) -> None:
        """Wait until a peer is marked dead or is no longer a member."""
        while True:
            await asyncio.sleep(PEER_CHECK_PERIOD_S)
            member = self._members.by_host.get(peer.host)
            if member is None or member.state is MemberState.DEAD:
                return

    async def _close_when_dead(
        self, peer: Member, answer: aiohttp.ClientResponse
    ) -> None:
        await self._wait_until_dead(peer)
        answer.close()


def _broken_response(error: Exception) -> HTTPResponse:
    message = f"the host that the request was passed to did not answer: {error!r}"
    return failure_response(Failed(Reason.HOST_LEAVING, message))
