"""Tests of the package consensus."""
