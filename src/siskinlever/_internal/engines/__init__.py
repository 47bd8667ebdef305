"""Model engines, with one adapter for each engine API."""
