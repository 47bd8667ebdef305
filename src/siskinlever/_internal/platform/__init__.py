"""Translates between the users' platform and the project's own types.

Only this package knows the platform's names for fields, headers, paths and
words. It decides nothing and keeps nothing between two calls.
"""
