"""Model engines, one adapter for each dialect."""
