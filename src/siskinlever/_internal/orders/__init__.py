"""Sends runners orders that set their model version, adapters and role.

Used by the standalone daemon (``siskinleverd --settings``). The counterpart on the
users' platform is `stages`.
"""
