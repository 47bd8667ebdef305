"""The bodies of callers' requests."""

from __future__ import annotations

from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field

ROUTER_FIELDS = frozenset({"model", "prompt", "messages", "max_tokens", "stream"})
DEFAULT_MAX_TOKENS = 256


class StreamOptions(BaseModel):
    """Options of a streamed answer."""

    model_config = ConfigDict(extra="ignore", strict=True)

    include_usage: bool = False


class Body(BaseModel):
    """What completions and chat completions have in common.

    Further fields are passed to the engine unchanged.
    """

    model_config = ConfigDict(extra="allow", strict=True)

    model: Annotated[str, Field(min_length=1, max_length=128)]
    max_tokens: Annotated[int, Field(ge=1)] | None = None
    stream: bool = False
    stream_options: StreamOptions | None = None
    n: Literal[1] = 1

    @property
    def include_usage(self) -> bool:
        """Whether the stream ends with the count of tokens."""
        return self.stream_options is not None and self.stream_options.include_usage

    @property
    def requested_tokens(self) -> int | None:
        """The most tokens that the caller asks for."""
        return self.max_tokens

    @property
    def sampling(self) -> dict[str, Any]:
        """Fields that only the engine understands."""
        return {
            name: value
            for name, value in (self.model_extra or {}).items()
            if name not in ROUTER_FIELDS
            and name not in ("kv_transfer_params", "priority")
        }


class CompletionBody(Body):
    """Body of ``/v1/completions``."""

    prompt: Annotated[str, Field(min_length=1)]

    @property
    def text(self) -> str:
        """The prompt."""
        return self.prompt


class TextPart(BaseModel):
    """A part of a message's content."""

    model_config = ConfigDict(strict=True)

    type: Literal["text"]
    text: str


class Message(BaseModel):
    """One message of a conversation."""

    model_config = ConfigDict(extra="allow", strict=True)

    role: str
    content: str | list[TextPart] | None = None

    @property
    def text(self) -> str:
        """The content's text."""
        if isinstance(self.content, str):
            return self.content
        return "".join(part.text for part in self.content or ())


class ChatBody(Body):
    """Body of ``/v1/chat/completions``."""

    messages: Annotated[list[Message], Field(min_length=1)]
    max_completion_tokens: Annotated[int, Field(ge=1)] | None = None

    @property
    def requested_tokens(self) -> int | None:
        """The most tokens that the caller asks for, under the newer name first."""
        return self.max_completion_tokens or self.max_tokens

    @property
    def text(self) -> str:
        """The conversation as one prompt."""
        lines = [f"{message.role}: {message.text}" for message in self.messages]
        return "\n".join([*lines, "assistant:"])
