"""Errors of siskinlever, one family for each layer."""

from __future__ import annotations


class SiskinleverError(Exception):
    """Base of all errors; ``hint`` tells the user what to do.

    Parameters
    ----------
    message : str
    hint : str, default=""
    """

    def __init__(self, message: str, hint: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.hint = hint


class SettingsError(SiskinleverError):
    """The settings file of a process is not valid."""


class DeclarationError(SiskinleverError):
    """A declaration is not valid; ``faults`` lists every fault by JSON path."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("\n".join(faults), "correct the fields named and try again")
        self.faults = faults


class PlatformError(SiskinleverError):
    """The platform's service did not serve a call."""


class StoreUnavailableError(PlatformError):
    """The key-value service was not reached, or it refused: nothing took effect."""


class StoreOutcomeUnknownError(PlatformError):
    """The answer to a write was lost; the write may have taken effect."""


class LeaseLapsedError(PlatformError):
    """A write was to be held by a lease that has lapsed; nothing was written."""


class StoreConflictError(PlatformError):
    """A compare-and-swap found another version of the record."""


class HostListError(PlatformError):
    """The host list was not read."""


class PeerError(SiskinleverError):
    """A call to a peer failed or was not answered in time."""


class EngineError(SiskinleverError):
    """An engine failed a request; ``started`` tells whether it may have run."""

    def __init__(self, message: str, started: bool = True) -> None:
        super().__init__(message)
        self.started = started


class EngineBusyError(EngineError):
    """An engine refused a request for want of room; the request was not run."""

    def __init__(self, message: str) -> None:
        super().__init__(message, started=False)


class OrderRefusedError(EngineError):
    """An engine refused an order for its old fencing token."""


class KVCacheLostError(EngineError):
    """The exported KV cache was evicted before it was imported."""


class GenerationLostError(EngineError):
    """The engine does not know the generation, or no longer."""


class StreamBrokenError(EngineError):
    """An engine's stream ended, or fell silent, before its final marker."""


class ServiceCallError(SiskinleverError):
    """A plain service failed a call; ``started`` tells whether it may have run."""

    def __init__(self, message: str, started: bool = True) -> None:
        super().__init__(message)
        self.started = started


class ConflictError(SiskinleverError):
    """Another operator's apply came first."""


class ParameterError(SiskinleverError):
    """A query parameter of the administration interface is not valid."""


class AdministrationError(SiskinleverError):
    """The administration interface refused a call or was not reached.

    ``sent`` tells whether the call may have taken effect.
    """

    def __init__(self, message: str, hint: str = "", sent: bool = True) -> None:
        super().__init__(message, hint)
        self.sent = sent


class CallRefusedError(AdministrationError):
    """The administration interface was reached and refused a call."""

    def __init__(self, message: str, hint: str = "") -> None:
        super().__init__(message, hint, sent=False)


class UsageError(SiskinleverError):
    """The command line is not valid."""


class ExchangeError(SiskinleverError):
    """A call over HTTP/1.1 has no complete answer."""


class ConnectFailedError(ExchangeError):
    """No connection was made: nothing was sent."""


class AnswerBrokenError(ExchangeError):
    """The call was sent, at least in part, and its answer is not complete."""


class CallerGoneError(SiskinleverError):
    """The caller's connection is lost."""


class InvalidRequestError(SiskinleverError):
    """A caller's request is not valid; ``status`` is the answer's status."""

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


class InvalidRecordError(SiskinleverError):
    """A record from outside has a wrong or missing field; the message names it."""


class HistoryLostError(PlatformError):
    """The store no longer has the changes that were asked for."""
