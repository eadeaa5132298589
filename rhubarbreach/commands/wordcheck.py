"""Lint check: words of the platform's messages stay in its adapter."""

import pathlib
import re
import sys

__all__ = ['find_words', 'main']

# Header names, calls and fields that only the adapter may know.
WORDS = re.compile(
    r'[Xx]-[Rr]hubarbreach|Instances\.|Config\.(?:Put|Get)'
    r'|Retire\.(?:Start|Get)|heartbeat_addr|dead_letter|route_type'
    r'|traffic_split|max_count|next_page_token|cold_remaining|tenant'
    r'|RHUBARBREACH_SETTINGS'
)
# This module names the words, and generated code is not read.
LEFT_OUT = ('wordcheck.py', '_pb2.py', '_pb2_grpc.py')


def find_words(text):
    """Return the faults of a text, as line numbers and words."""
    return [
        (number, found.group())
        for number, line in enumerate(text.splitlines(), 1)
        for found in WORDS.finditer(line)
    ]


def main():
    """Check a package and exit with status 1 if there are faults."""
    root = pathlib.Path(sys.argv[1])
    faults = 0
    for path in sorted(root.rglob('*.py')):
        if path.name.endswith(LEFT_OUT):
            continue
        for number, word in find_words(path.read_text(encoding='utf-8')):
            faults += 1
            sys.stdout.write(f'{path}:{number}: {word} belongs to platform/\n')
    sys.exit(1 if faults else 0)


if __name__ == '__main__':
    main()
