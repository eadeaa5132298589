"""Tests of the package emulator."""
