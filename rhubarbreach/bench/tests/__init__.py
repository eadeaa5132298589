"""Tests of the package bench."""
