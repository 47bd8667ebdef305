"""The declaration in force: stored in the platform's service, followed by all."""
