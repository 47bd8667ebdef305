"""Plain data shared by the layers."""
