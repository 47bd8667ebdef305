"""Admission control and placement of requests on prefill and decode runners."""
