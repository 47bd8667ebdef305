"""Command lines of the daemon and of the operators' commands."""
