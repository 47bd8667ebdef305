"""A router for separate prefill and decode pools of language-model engines."""

__version__ = "0.1.0"
