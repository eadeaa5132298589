"""Tests of the package observe."""
