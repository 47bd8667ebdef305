"""Data classes and validated documents shared by all layers."""
