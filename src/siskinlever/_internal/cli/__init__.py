"""Command-line parsing."""
