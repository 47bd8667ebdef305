"""Stand-ins for the metadata store and the runners of the users' platform."""
