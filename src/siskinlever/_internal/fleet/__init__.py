"""What a host believes of the fleet: configuration, runners and other hosts."""
