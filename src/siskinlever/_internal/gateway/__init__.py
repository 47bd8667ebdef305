"""Serves callers' requests and forwards them to runners, over HTTP/1.1."""
