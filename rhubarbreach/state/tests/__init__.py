"""Tests of the package state."""
