"""Implementation of siskinlever; nothing in this package is public.

The daemon runs in one of two modes, each with its own packages. They do not import
those of the other mode, and both have their own placement, retry budget and leases.

- ``siskinleverd --settings`` runs a standalone host with the project's own interface.
  `daemon.assembly` creates it from `callers`, `configuration`, `coordination`,
  `engines`, `membership`, `operators`, `orders`, `requests`, `routing` and `services`.
- ``siskinleverd --platform`` runs a host behind the users' platform.
  `daemon.gateway` creates it from `dispatch`, `fleet`, `gateway`, `platform` and
  `stages`.

The other packages, such as `models`, `network` and `peers`, are shared.
"""
