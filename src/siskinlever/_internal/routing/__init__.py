"""Admission control and placement of requests on prefill and decode runners.

Used by the standalone daemon (``siskinleverd --settings``). The counterpart on the
users' platform is `dispatch`.
"""
