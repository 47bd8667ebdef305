"""Model engines, with one adapter for each engine API.

Used by `siskinleverd --settings`.
"""
