"""Tests of the package entry."""
