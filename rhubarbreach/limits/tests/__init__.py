"""Tests of the package `limits`."""
