"""General-purpose utilities that do not depend on the router's state."""
