"""Tests of the package fleet."""
