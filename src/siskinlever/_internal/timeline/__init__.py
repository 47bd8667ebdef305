"""Recorder of this host's timeline events."""
