"""Which runners serve a request, when, and which requests are refused."""
