"""Execution of batch items."""
