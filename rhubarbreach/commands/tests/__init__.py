"""Tests of the package commands."""
