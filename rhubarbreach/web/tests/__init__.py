"""Tests of the package web."""
