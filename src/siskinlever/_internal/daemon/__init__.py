"""Assembly and lifecycle of a host's components.

The daemon has two modes, and each has its own packages:

- ``siskinleverd --settings`` runs a standalone host, whose platform is a key-value
  service and a host list. `server`, `assembly` and `host` run it, with the packages
  `membership`, `coordination`, `configuration`, `requests`, `routing`, `orders`,
  `callers`, `operators`, `engines` and `services`.
- ``siskinleverd --platform`` runs a host on the users' platform. `gateway` runs it,
  with the packages `fleet`, `platform`, `gateway`, `dispatch` and `stages`.
"""
