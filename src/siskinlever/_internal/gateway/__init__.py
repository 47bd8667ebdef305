"""Serves callers' requests and forwards them to runners, over HTTP/1.1.

Used on the users' platform (``siskinleverd --platform``). The counterparts in the
standalone daemon are `callers` and `requests`.
"""
