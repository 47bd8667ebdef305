"""The configuration in force on this host; its version never decreases.

That no newer version was in the store at some time is proved by the answer to a call
which was made at that time. What a peer says counts only as a reply to a call of this
host: it is as old as the peer states at the time of the call, however long the reply
took or this process was suspended.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from ..exceptions import InvalidRecordError
from ..logs.lines import LogLines
from ..models.host_settings import KeyBounds
from ..models.routes import CallerLimits, FleetConfiguration
from ..utils.clock import boot_time

Decode = Callable[[bytes], FleetConfiguration]
# A version takes effect on all hosts within 2 s. If the last confirmation is older
# than this, a newer version may be in force on another host.
MAX_CONFIRMATION_AGE_S = 2.0
DEFAULT_KEYS = KeyBounds()


class ConfigurationInForce:
    """Holds the newest configuration received so far.

    Counterpart of `CurrentConfiguration` on the users' platform.

    Parameters
    ----------
    decode : callable
        Decodes the operator's document; raises `InvalidRecordError` if it is
        not valid.
    log : LogLines
    keys : KeyBounds, default=DEFAULT_KEYS
    now : callable, default=boot_time
        Returns the time in seconds. The clock must count the time in which the process
        or the machine is suspended.
    """

    def __init__(
        self,
        decode: Decode,
        log: LogLines,
        keys: KeyBounds = DEFAULT_KEYS,
        now: Callable[[], float] = boot_time,
    ) -> None:
        self._decode = decode
        self._log = log
        self._fails_closed = keys.fails_closed
        self.now = now
        self.current: FleetConfiguration | None = None
        self.document = b""
        self._proved_at = float("-inf")
        self._reported_at = float("-inf")
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
    def has_workspaces(self) -> bool:
        """Whether requests need the key of a workspace."""
        current = self.current
        return current is not None and current.workspace_by_key_digest is not None

    @property
    def needs_proof(self) -> bool:
        """Whether requests are refused when the last proof is too old."""
        return self._fails_closed and self.has_workspaces

    @property
    def is_current(self) -> bool:
        """Whether no newer version can be in force on another host."""
        return self.confirmed_age_s <= MAX_CONFIRMATION_AGE_S

    @property
    def confirmed_age_s(self) -> float:
        """Seconds since the version in force was last known to be the newest.

        Where keys are checked, only proofs count.
        """
        if self.has_workspaces:
            return self.proof_age_s
        return self.now() - max(self._proved_at, self._reported_at)

    @property
    def proof_age_s(self) -> float:
        """Seconds since the version in force was last proved to be the newest."""
        return self.now() - self._proved_at

    def _logged_age_s(self) -> float | None:
        age_s = self.confirmed_age_s
        return round(age_s, 3) if math.isfinite(age_s) else None

    def confirm(self, requested_at: float) -> None:
        """Record a proof that no newer version existed.

        It stays valid when a newer version is put in force.

        Parameters
        ----------
        requested_at : float
            Time of `now` at which the store was called that had no newer version.
        """
        self._proved_at = max(self._proved_at, requested_at)

    def note_report(self, confirmed_at: float) -> None:
        """Record that a peer which called this host has the same version.

        This is no proof: the call may have waited here while this process was
        suspended.

        Parameters
        ----------
        confirmed_at : float
            Time of `now` at which the version was the newest, if the call took no time.
        """
        self._reported_at = max(self._reported_at, confirmed_at)

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
            confirmed_s_ago=self._logged_age_s(),
        )
        self.current = candidate
        self.document = document
        return True
