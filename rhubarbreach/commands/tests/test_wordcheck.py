"""Tests of the lint check for names of the platform's interface."""

from rhubarbreach.commands import wordcheck


def test_words_of_the_platform_are_found():
    text = "a = 1\nb = 'X-Rhubarbreach-Model'\nc = tenant_name\n"
    assert [number for number, _ in wordcheck.find_words(text)] == [2, 3]


def test_words_of_this_project_are_accepted():
    assert not wordcheck.find_words('account = index.find_account(key)\n')
