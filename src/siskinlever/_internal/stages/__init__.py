"""Assigns engines to the prefill and decode stages and sends the resulting orders.

Used on the users' platform (``siskinleverd --platform``). The counterpart in the
standalone daemon is `orders`.
"""
