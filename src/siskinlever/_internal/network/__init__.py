"""Sockets, TLS contexts, and HTTP clients and servers.

`http_server`, `sessions` and `tls` serve `siskinleverd --settings`; `http1_client`
and `http1_server` serve `siskinleverd --platform`. Both modes use `sockets`.
"""
