"""Plain services behind the router, with `siskinleverd --settings`."""
