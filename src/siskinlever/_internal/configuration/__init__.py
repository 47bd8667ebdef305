"""Storage and distribution of the declaration in force.

The key-value service stores the declaration, and every host follows it.
"""
