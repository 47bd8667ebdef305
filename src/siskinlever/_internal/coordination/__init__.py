"""Clients of the key-value service and the host list.

They belong to the project's own interface. Behind the users' platform, the
platform package takes their place.
"""
