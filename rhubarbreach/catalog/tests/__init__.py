"""Tests of the package catalog."""
