"""Tests of the analysis of configurations."""
