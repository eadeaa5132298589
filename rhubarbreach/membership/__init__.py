"""Live hosts and announced endpoints."""
