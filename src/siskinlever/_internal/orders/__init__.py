"""Sends runners orders that set their model version, adapters and role."""
