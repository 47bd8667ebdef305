"""Timeline of events of all processes."""
