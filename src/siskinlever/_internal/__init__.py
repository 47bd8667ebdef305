"""Implementation of siskinlever; nothing in this package is public."""
