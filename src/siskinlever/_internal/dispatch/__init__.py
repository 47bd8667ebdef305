"""Decisions on requests, free of any network: where to, when, and whether."""
