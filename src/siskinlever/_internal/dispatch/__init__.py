"""Placement, queueing and retry decisions for requests; performs no I/O.

Used on the users' platform (``siskinleverd --platform``). The counterpart in the
standalone daemon is `routing`.
"""
