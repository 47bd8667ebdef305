"""The administration interface."""
