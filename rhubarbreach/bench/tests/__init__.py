"""Tests of the bench package."""
