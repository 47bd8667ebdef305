"""Which engines read prompts and which produce output, and who orders it."""
