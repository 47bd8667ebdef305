"""What the stand-ins of runners are told to answer, and the requests they receive."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class RunnerFault(Enum):
    """How a runner answers a request, or fails to."""

    NONE = "none"
    # Status 503 with Not-Executed; the request does not run.
    SHED = "shed"
    # Status 500 after the request ran.
    ERROR = "error"
    # The request runs, then the connection is reset without an answer.
    RESET_AFTER_RUN = "reset-after-run"
    # Half of the answer without a Content-Length, then a reset.
    UNFRAMED_RESET = "unframed-reset"
    # The whole answer without a Content-Length, ended by an orderly close.
    UNFRAMED = "unframed"
    # Half of the body, or a stream without its last chunk, then an orderly close.
    TRUNCATED = "truncated"
    # A second answer after the first.
    EXTRA = "extra"
    # The attempt id and the signature of another request.
    FOREIGN = "foreign"
    # Bytes that are not HTTP.
    GARBAGE = "garbage"
    # As SHED, but before the body is read.
    EARLY = "early"
    # The request counts as run and is never answered.
    MUTE = "mute"
    # No Server-Signature and no Instance-Load header.
    UNSIGNED = "unsigned"


class StreamFraming(Enum):
    """What marks the end of an engine's stream."""

    CHUNKS = "chunks"
    # Neither a length nor chunks: the end of the connection.
    CONNECTION = "connection"


class StreamEnd(Enum):
    """How an engine ends a stream that it breaks off."""

    RESET = "reset"
    # An orderly close of the connection.
    CLOSE = "close"
    # As a complete stream: with the last chunk, where the stream has chunks.
    COMPLETE = "complete"


class RawEnd(Enum):
    """What follows the bytes of a raw answer."""

    CLOSE = "close"
    RESET = "reset"
    # Nothing, on an open connection.
    SILENCE = "silence"
    # The last part again and again.
    ENDLESS = "endless"


@dataclass(frozen=True, slots=True)
class RawAnswer:
    """Bytes that a runner sends in place of an answer.

    Parameters
    ----------
    parts : tuple of bytes
        Written one after the other.
    end : RawEnd
    pause_s : float, default=0.0
        Seconds between two parts.
    """

    parts: tuple[bytes, ...]
    end: RawEnd
    pause_s: float = 0.0


@dataclass(slots=True)
class Request:
    """A request as received by a runner."""

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes

    def get(self, name: str) -> str | None:
        """Return the value of the first header called `name`, a lower-case name."""
        return next((v for n, v in self.headers if n.lower() == name), None)

    @property
    def token_usage(self) -> tuple[int, int]:
        """Tokens of the prompt and the most tokens of output; 0 if not stated."""
        prompt, max_tokens = (self.get("token-usage") or "0,0").split(",")
        return int(prompt), int(max_tokens)
