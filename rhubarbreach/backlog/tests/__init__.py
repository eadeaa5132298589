"""Tests of the backlog package."""
