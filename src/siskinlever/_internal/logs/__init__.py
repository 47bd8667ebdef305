"""Structured log lines on standard output, with `siskinleverd --platform`."""
