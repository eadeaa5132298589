"""Tests of the web package."""
