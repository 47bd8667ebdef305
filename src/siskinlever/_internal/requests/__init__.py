"""The life of a request: attempts, claims, drafts and cancellation."""
