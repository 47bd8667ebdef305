"""Request bodies of the callers' interface."""

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
    """Fields that completions and chat completions have in common.

    Additional fields are passed to the engine unchanged, except those that the
    router sets itself: `ROUTER_FIELDS`, ``kv_transfer_params`` and ``priority``.
    """

    model_config = ConfigDict(extra="allow", strict=True)

    model: Annotated[str, Field(min_length=1, max_length=128)]
    max_tokens: Annotated[int, Field(ge=1)] | None = None
    stream: bool = False
    stream_options: StreamOptions | None = None
    n: Literal[1] = 1

    @property
    def include_usage(self) -> bool:
        """Whether the stream ends with an event that contains the token counts."""
        return self.stream_options is not None and self.stream_options.include_usage

    @property
    def requested_tokens(self) -> int | None:
        """The maximum number of tokens that the caller requests."""
        return self.max_tokens

    @property
    def sampling(self) -> dict[str, Any]:
        """The fields that are passed to the engine unchanged."""
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
        return self.prompt


class TextPart(BaseModel):
    """A text part of a message's content."""

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
        """The text of the content, with its parts concatenated."""
        if isinstance(self.content, str):
            return self.content
        return "".join(part.text for part in self.content or ())


class ChatBody(Body):
    """Body of ``/v1/chat/completions``."""

    messages: Annotated[list[Message], Field(min_length=1)]
    max_completion_tokens: Annotated[int, Field(ge=1)] | None = None

    @property
    def requested_tokens(self) -> int | None:
        """The maximum number of tokens that the caller requests.

        ``max_completion_tokens`` replaces ``max_tokens`` in the OpenAI interface and
        takes precedence over it.
        """
        return self.max_completion_tokens or self.max_tokens

    @property
    def text(self) -> str:
        """The conversation as a single prompt."""
        lines = [f"{message.role}: {message.text}" for message in self.messages]
        return "\n".join([*lines, "assistant:"])
