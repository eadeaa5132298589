"""Emulated endpoints for tests, demo and bench."""
