"""Plain services behind the router."""
