"""Membership and failure detection of hosts by pings between them."""
