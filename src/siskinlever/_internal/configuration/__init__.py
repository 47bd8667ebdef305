"""Storage and distribution of the declaration in force.

The key-value service stores the declaration, and every host follows it. Used by a
standalone host (``siskinleverd --settings``). On the users' platform,
`fleet.configuration` holds the configuration in force.
"""
