"""Tests of the protocol package."""
