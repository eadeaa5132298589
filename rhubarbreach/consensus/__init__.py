"""Replicated log groups."""
