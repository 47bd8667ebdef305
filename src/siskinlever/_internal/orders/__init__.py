"""Orders to runners: which version, adapters and role each is to have."""
