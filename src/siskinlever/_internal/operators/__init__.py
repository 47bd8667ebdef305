"""The administration interface of `siskinleverd --settings`."""
