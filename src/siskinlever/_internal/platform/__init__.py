"""Clients of the platform: key-value service, host list and weight store."""
