"""Tests of the package protocol."""
