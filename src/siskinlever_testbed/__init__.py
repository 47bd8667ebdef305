"""Stand-ins for outside systems, the demonstration and the measurements.

Nothing here is part of the running system.
"""
