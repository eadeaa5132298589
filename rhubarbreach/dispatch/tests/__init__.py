"""Tests of the package dispatch."""
