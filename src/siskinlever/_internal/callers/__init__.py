"""The HTTP interface for callers of `siskinleverd --settings`.

With `--platform`, the `gateway` package serves callers.
"""
