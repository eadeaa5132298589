"""Tests of the emulator package."""
