"""Clients of the key-value service and the host list.

Only a standalone host (``siskinleverd --settings``) uses them. On the users' platform,
the `platform` package replaces them.
"""
