"""The interface between hosts, over gRPC."""
