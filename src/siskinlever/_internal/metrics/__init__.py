"""Counters, gauges and latency summaries, in both modes of the daemon."""
