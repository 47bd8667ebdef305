"""The configuration in force on this host; its version never goes back."""

from __future__ import annotations

from collections.abc import Callable

from ..exceptions import InvalidRecordError
from ..logs.lines import LogLines
from ..models.routes import CallerLimits, FleetConfiguration
from ..utils.clock import monotonic

Decode = Callable[[bytes], FleetConfiguration]
# A version takes effect everywhere within 2 s; an older confirmation than this
# leaves open whether a newer version exists.
MAX_CONFIRMATION_AGE_S = 2.0


class ConfigurationInForce:
    """Holds the newest configuration seen.

    Parameters
    ----------
    decode : callable
        Decodes the operator's document; raises `InvalidRecordError`.
    log : LogLines
    """

    def __init__(self, decode: Decode, log: LogLines) -> None:
        self._decode = decode
        self._log = log
        self.current: FleetConfiguration | None = None
        self.document = b""
        self._confirmed_at = float("-inf")
        self._rejected = b""

    @property
    def version(self) -> int:
        """The version in force, 0 if none."""
        return self.current.version if self.current else 0

    @property
    def limits(self) -> CallerLimits:
        """Limits for callers; the defaults until a configuration is known."""
        return self.current.limits if self.current else CallerLimits()

    @property
    def is_current(self) -> bool:
        """Whether no newer version can be in force elsewhere."""
        return self.confirmed_age_s <= MAX_CONFIRMATION_AGE_S

    @property
    def confirmed_age_s(self) -> float:
        """Seconds since the version in force was known to be the newest."""
        return monotonic() - self._confirmed_at

    def confirm(self, requested_at: float) -> None:
        """Note that the source, asked at a moment, had nothing newer."""
        self._confirmed_at = max(self._confirmed_at, requested_at)

    def advance(self, document: bytes, source: str) -> bool:
        """Take in a document; tell whether a newer version is now in force."""
        if document in (self.document, self._rejected):
            return False
        try:
            candidate = self._decode(document)
        except InvalidRecordError as error:
            self._rejected = document
            self._log.write(
                "configuration.rejected", source=source, reason=error.message
            )
            return False
        if candidate.version <= self.version:
            return False
        self._log.write(
            "configuration.changed",
            source=source,
            before=self.version,
            after=candidate.version,
            routes=sum(len(routes) for routes in candidate.routes_by_host.values()),
        )
        self.current = candidate
        self.document = document
        return True
