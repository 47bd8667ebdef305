"""Translation between the platform's formats and the project's types.

The platform's names of fields, headers, paths and enumerated values appear
only in this package. It contains no policy and keeps no state between calls. Only a
host on the users' platform (``siskinleverd --platform``) uses it.
"""
