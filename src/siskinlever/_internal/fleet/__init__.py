"""The local view of the fleet: configuration, runners and other hosts.

Used by a host on the users' platform (``siskinleverd --platform``). A standalone host
uses the `membership` and `configuration` packages instead.
"""
