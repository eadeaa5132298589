"""Deterministic state machines of the replicated log groups."""
