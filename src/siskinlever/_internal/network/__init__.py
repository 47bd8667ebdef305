"""Sockets, TLS contexts, and HTTP clients and servers."""
