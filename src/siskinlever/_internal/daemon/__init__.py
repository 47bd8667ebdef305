"""Puts the parts of one host together."""
