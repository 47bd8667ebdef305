"""Request lifecycle: attempts, claims, drafts and cancellation."""
