"""Membership and failure detection of hosts by pings between them.

Used by a standalone host (``siskinleverd --settings``). On the users' platform, the
`fleet` package keeps the table of hosts.
"""
