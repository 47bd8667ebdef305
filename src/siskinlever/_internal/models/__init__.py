"""Data classes and validated documents.

`addresses`, `declaration`, `events`, `outcome`, `references`, `settings` and `work`
serve `siskinleverd --settings`; `host_settings`, `routes` and `upstreams` serve
`siskinleverd --platform`. Both modes use `ids`.
"""
