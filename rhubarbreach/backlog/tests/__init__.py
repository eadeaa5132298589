"""Tests of the package backlog."""
