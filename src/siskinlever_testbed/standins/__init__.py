"""Minimal stand-ins for the systems that siskinlever communicates with."""
