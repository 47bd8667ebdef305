"""Which hosts are alive, by heartbeats between them."""
