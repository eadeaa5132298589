"""Tests of the configuration reference."""

import pathlib

from rhubarbreach.commands import reference

PAGE = pathlib.Path(__file__).parents[3] / 'docs' / 'configuration.md'


def test_page_matches_the_options():
    """Guards against options that are missing in the documentation."""
    assert PAGE.read_text(encoding='utf-8') == reference.format_reference()
