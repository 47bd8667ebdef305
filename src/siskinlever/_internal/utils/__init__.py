"""Small helpers without state of the system."""
