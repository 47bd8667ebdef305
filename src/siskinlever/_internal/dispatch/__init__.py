"""Placement, queueing and retry decisions for requests; performs no I/O."""
