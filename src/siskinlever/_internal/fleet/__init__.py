"""The local view of the fleet: configuration, runners and other hosts."""
