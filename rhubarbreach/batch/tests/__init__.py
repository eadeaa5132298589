"""Tests of the package batch."""
