"""Counters and latencies."""
