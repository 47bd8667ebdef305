"""The interface between hosts, over gRPC, in both modes of the daemon."""
