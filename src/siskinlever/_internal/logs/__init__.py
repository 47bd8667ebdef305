"""Structured log lines on standard output."""
