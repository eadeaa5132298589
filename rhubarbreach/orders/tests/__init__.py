"""Tests of the package orders."""
