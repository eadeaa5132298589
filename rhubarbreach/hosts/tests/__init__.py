"""Tests of the package hosts."""
