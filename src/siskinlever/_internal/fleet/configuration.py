"""The configuration in force on this host; its version never decreases."""

from __future__ import annotations

from collections.abc import Callable

from ..exceptions import InvalidRecordError
from ..logs.lines import LogLines
from ..models.routes import CallerLimits, FleetConfiguration
from ..utils.clock import monotonic

Decode = Callable[[bytes], FleetConfiguration]
# A version takes effect on all hosts within 2 s. If the last confirmation is older
# than this, a newer version may be in force on another host.
MAX_CONFIRMATION_AGE_S = 2.0


class ConfigurationInForce:
    """Holds the newest configuration received so far.

    Counterpart of `CurrentConfiguration` on the users' platform.

    Parameters
    ----------
    decode : callable
        Decodes the operator's document; raises `InvalidRecordError` if it is
        not valid.
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
        """The version in force, or 0 if there is none."""
        return self.current.version if self.current else 0

    @property
    def limits(self) -> CallerLimits:
        """Limits for callers; the defaults if no configuration is in force."""
        return self.current.limits if self.current else CallerLimits()

    @property
    def is_current(self) -> bool:
        """Whether no newer version can be in force on another host."""
        return self.confirmed_age_s <= MAX_CONFIRMATION_AGE_S

    @property
    def confirmed_age_s(self) -> float:
        """Seconds since the version in force was last confirmed as the newest."""
        return monotonic() - self._confirmed_at

    def confirm(self, requested_at: float) -> None:
        """Record that a source had no newer version.

        Parameters
        ----------
        requested_at : float
            Monotonic time of the request to the source.
        """
        self._confirmed_at = max(self._confirmed_at, requested_at)

    def advance(self, document: bytes, source: str) -> bool:
        """Put a document in force if its version is newer.

        A document that is not valid is logged and otherwise ignored.

        Parameters
        ----------
        document : bytes
        source : str
            Origin of the document, for the log.

        Returns
        -------
        changed : bool
            Whether the version in force changed.
        """
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
