"""Clients of the key-value service and host list of the project's own interface."""
