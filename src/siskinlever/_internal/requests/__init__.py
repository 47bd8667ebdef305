"""Request lifecycle: attempts, claims, drafts and cancellation.

Used by a standalone host (``siskinleverd --settings``). On the users' platform, the
`gateway` package serves the requests.
"""
