"""Check the Promela specifications of a folder with spin.

The first line of each specification says what must come out:
`/* expect: pass */`, or `/* expect: fail */` for a variant with one safety
rule removed. Further options for the verifier follow after a semicolon, as
in `/* expect: pass; -DBITSTATE */`.
"""

import concurrent.futures
import pathlib
import re
import shutil
import subprocess
import sys
import tempfile

__all__ = ['check_model', 'main']

EXPECTATION = re.compile(r'/\* expect: (pass|fail)(?:; (.*?))? \*/')
TIMEOUT_SECONDS = 120
# The largest specification takes more than a gigabyte.
WORKERS = 3
MAX_DEPTH = 1000000
INSTALL_HINT = 'spin is missing: apt-get install spin gcc'


def run(command, folder):
    """Return the output of a command; raise if it fails."""
    return subprocess.run(
        command,
        cwd=folder,
        check=True,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_SECONDS,
    ).stdout


def check_model(path):
    """Verify one specification.

    Parameters
    ----------
    path : pathlib.Path
        Promela file.

    Returns
    -------
    tuple of bool and str
        Whether the outcome is the expected one, and one line about it.
    """
    match = EXPECTATION.match(path.read_text(encoding='utf-8'))
    if match is None:
        return False, f'{path.name}: first line states no expectation'
    expected, options = match.groups()
    with tempfile.TemporaryDirectory() as folder:
        run(['spin', '-a', str(path.resolve())], folder)
        flags = ['-O2', '-DSAFETY', *(options or '').split()]
        run(['gcc', *flags, '-o', 'pan', 'pan.c'], folder)
        output = run(['./pan', f'-m{MAX_DEPTH}'], folder)
    errors = int(re.search(r'errors: (\d+)', output).group(1))
    states = re.search(r'(\S+) states, stored', output).group(1)
    complete = 'max search depth too small' not in output
    passed = errors == 0 and complete
    found = 'pass' if passed else 'fail'
    line = f'{path.name}: expected {expected}, found {found}, {states} states'
    return found == expected, line


def main():
    """Check all specifications and exit with status 1 on a surprise."""
    if shutil.which('spin') is None:
        sys.exit(INSTALL_HINT)
    paths = sorted(pathlib.Path(sys.argv[1]).glob('*.pml'))
    with concurrent.futures.ThreadPoolExecutor(WORKERS) as executor:
        results = list(executor.map(check_model, paths))
    for _, line in results:
        sys.stdout.write(f'{line}\n')
    if not results or not all(good for good, _ in results):
        sys.exit(1)


if __name__ == '__main__':
    main()
