"""Counters, gauges and latency summaries."""
