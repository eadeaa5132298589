"""Tests of the package storage."""
