"""Lint check: only the adapter uses names of the platform's interface."""

import pathlib
import re
import sys

__all__ = ['find_words', 'main']

# Headers, calls and fields of the platform that only its adapter may use.
PLATFORM_WORDS = re.compile(
    r'[Xx]-[Rr]hubarbreach|Instances\.|Config\.(?:Put|Get)'
    r'|Retire\.(?:Start|Get)|Evacuations\.(?:Start|End)|heartbeat_addr'
    r'|dead_letter|route_type|traffic_split|max_count|next_page_token'
    r'|cold_remaining|tenant|RHUBARBREACH_SETTINGS'
)
# This module defines the words; generated code is not checked.
EXCLUDED_SUFFIXES = ('wordcheck.py', '_pb2.py', '_pb2_grpc.py')


def find_words(text):
    """Return the line number and text of each forbidden word."""
    return [
        (number, match.group())
        for number, line in enumerate(text.splitlines(), 1)
        for match in PLATFORM_WORDS.finditer(line)
    ]


def main():
    """Check a package and exit with status 1 if there are faults."""
    root = pathlib.Path(sys.argv[1])
    count = 0
    for path in sorted(root.rglob('*.py')):
        if path.name.endswith(EXCLUDED_SUFFIXES):
            continue
        for number, word in find_words(path.read_text(encoding='utf-8')):
            count += 1
            sys.stdout.write(f'{path}:{number}: {word} belongs to platform/\n')
    sys.exit(1 if count else 0)


if __name__ == '__main__':
    main()
