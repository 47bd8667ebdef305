"""Assembly and lifecycle of a host's components."""
