"""Cost of requests, and choice of endpoints by their work and speed."""
