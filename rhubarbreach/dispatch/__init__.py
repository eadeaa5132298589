"""Requests to endpoints and the bytes of their responses."""
