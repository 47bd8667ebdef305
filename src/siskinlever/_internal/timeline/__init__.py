"""Recorder of this host's timeline events, with `siskinleverd --settings`."""
