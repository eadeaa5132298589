"""Run the tests listed in KNOWN-RED.txt, which CI skips."""

import pathlib
import subprocess
import sys

__all__ = ['main', 'read_test_ids']


def read_test_ids(path):
    """Return the ids of the listed tests.

    Parameters
    ----------
    path : pathlib.Path
        File with one line for each test. The id ends at the first `|`.

    Returns
    -------
    list of str
        Test ids in the form that pytest accepts.
    """
    lines = path.read_text(encoding='utf-8').splitlines()
    entries = [line for line in lines if line and not line.startswith('#')]
    return [entry.split('|')[0].strip() for entry in entries]


def main():
    """Run the listed tests and exit with the status of pytest."""
    test_ids = read_test_ids(pathlib.Path(sys.argv[1]))
    if not test_ids:
        sys.stdout.write('no test is listed\n')
        return
    command = [sys.executable, '-m', 'pytest', '--run-known-red', *test_ids]
    sys.exit(subprocess.run(command, check=False).returncode)


if __name__ == '__main__':
    main()
