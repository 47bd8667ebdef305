"""Stand-ins for external systems, the demonstrations and the measurements.

Nothing in this package is part of the running system.
"""
