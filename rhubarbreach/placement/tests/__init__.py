"""Tests of the package placement."""
