"""Utilities that hold no state of the router."""
