"""Clients of the key-value service and the host list.

They are used when the project runs with its own interface. On the users' platform,
the `platform` package replaces them.
"""
