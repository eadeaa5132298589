"""Tests of the package balancing."""
