"""Composition of one host process."""
