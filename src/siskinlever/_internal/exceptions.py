"""Exceptions that several packages raise or handle."""

from __future__ import annotations

from .network.answer_end import AnswerEnd, Verdict


class SiskinleverError(Exception):
    """Base class of all errors; ``hint`` describes how the user can resolve it.

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
    """Raised when the settings file of a process is not valid."""


class DeclarationError(SiskinleverError):
    """Raised when a declaration is not valid.

    ``faults`` lists all faults, each with its JSON path.
    """

    def __init__(self, faults: list[str]) -> None:
        super().__init__("\n".join(faults), "correct the fields named and try again")
        self.faults = faults


class PlatformError(SiskinleverError):
    """Raised when a call to one of the platform's services failed."""


class StoreUnavailableError(PlatformError):
    """Raised when the key-value service was unreachable or refused a call.

    The call had no effect.
    """


class StoreOutcomeUnknownError(PlatformError):
    """Raised when the answer to a write was lost; the write may have taken effect."""


class LeaseLapsedError(PlatformError):
    """Raised when the lease that a write depends on has expired.

    Nothing was written.
    """


class StoreConflictError(PlatformError):
    """Raised when a compare-and-swap found another version of the record."""


class HostListError(PlatformError):
    """Raised when the host list could not be read."""


class PeerError(SiskinleverError):
    """Raised when a call to a peer failed or timed out."""


class EngineError(SiskinleverError):
    """Raised when a request to an engine failed.

    ``started`` is true if the request may have run.
    """

    def __init__(self, message: str, started: bool = True) -> None:
        super().__init__(message)
        self.started = started


class EngineBusyError(EngineError):
    """Raised when an engine refused a request for lack of capacity.

    The request was not run.
    """

    def __init__(self, message: str) -> None:
        super().__init__(message, started=False)


class OrderRefusedError(EngineError):
    """Raised when an engine refused an order because its fencing token is stale."""


class KVCacheLostError(EngineError):
    """Raised when an exported KV cache was evicted before it was imported."""


class GenerationLostError(EngineError):
    """Raised when an engine has no such generation, or no longer has it."""


class StreamBrokenError(EngineError):
    """Raised when a call to an engine broke, timed out or had a malformed answer.

    A stream that ends without its final marker or lacks a chunk is included.
    """


class ServiceCallError(SiskinleverError):
    """Raised when a call to a plain service failed.

    ``started`` is true if the call may have run.
    """

    def __init__(self, message: str, started: bool = True) -> None:
        super().__init__(message)
        self.started = started


class ConflictError(SiskinleverError):
    """Raised when the apply of another operator took effect first."""


class ParameterError(SiskinleverError):
    """Raised when a query parameter of the administration interface is invalid."""


class AdministrationError(SiskinleverError):
    """Raised when the administration interface was unreachable or refused a call.

    ``may_have_taken_effect`` is false if the call certainly had no effect.
    """

    def __init__(
        self, message: str, hint: str = "", may_have_taken_effect: bool = True
    ) -> None:
        super().__init__(message, hint)
        self.may_have_taken_effect = may_have_taken_effect


class CallRefusedError(AdministrationError):
    """Raised when the administration interface was reached and refused a call."""

    def __init__(self, message: str, hint: str = "") -> None:
        super().__init__(message, hint, may_have_taken_effect=False)


class UsageError(SiskinleverError):
    """Raised when the command line is not valid.

    Also raised when a file named in it cannot be read or written, and when the
    logs given to `explain` have no line of the request.
    """


class ExchangeError(SiskinleverError):
    """Raised when an HTTP/1.1 call did not receive a complete answer."""


class NotSentError(ExchangeError):
    """Raised when nothing of a call was sent."""


class ConnectFailedError(NotSentError):
    """Raised when no connection could be established."""


class RunnerPausedError(NotSentError):
    """Raised when a runner has asked this host for a pause."""


class RunnerLeftError(NotSentError):
    """Raised when a runner that was chosen may no longer get requests."""


class KeyRefusedError(NotSentError):
    """Raised when the key of a request may no longer be used."""


class AnswerBrokenError(ExchangeError):
    """Raised when a call was sent, at least in part, without a usable answer.

    The answer is missing, incomplete or invalid, exceeds a limit, or did not arrive in
    time.

    Parameters
    ----------
    message : str
    verdict : Verdict, default=Verdict.BROKEN
    end : AnswerEnd or None, default=None
        How its bytes ended; None if that isn't known, or if they ended as framed.
    """

    def __init__(
        self,
        message: str,
        verdict: Verdict = Verdict.BROKEN,
        end: AnswerEnd | None = None,
    ) -> None:
        super().__init__(message)
        self.verdict = verdict
        self.end = end


class CallerGoneError(SiskinleverError):
    """Raised when the connection to the caller is lost."""


class InvalidRequestError(SiskinleverError):
    """Raised for an invalid request; ``status`` is the HTTP status of the answer."""

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


class InvalidRecordError(SiskinleverError):
    """Raised when an external record has an invalid or missing field.

    The message names the field.
    """


class HistoryLostError(PlatformError):
    """Raised when the store no longer has the requested history of changes."""
