"""Parsing of the command lines."""
