"""Sockets and HTTP sessions."""
