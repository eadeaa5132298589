"""Check the Promela specifications of a folder with spin.

The first line of each specification states the expected outcome:
`/* expect: pass */`, or `/* expect: fail */` for a variant with one safety
rule removed. Compiler options for the verifier may follow after a semicolon,
as in `/* expect: pass; -DBITSTATE */`.
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
# Limits memory use: the largest specification needs more than 1 GB.
WORKERS = 3
MAX_SEARCH_DEPTH = 1000000
INSTALL_HINT = 'spin is missing: apt-get install spin gcc'


def run(command, folder):
    """Run a command in a folder and return its output.

    Raises
    ------
    subprocess.CalledProcessError
        If the exit status is not 0.
    subprocess.TimeoutExpired
        If the command runs longer than `TIMEOUT_SECONDS`.
    """
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
        Whether the outcome is the expected one, and a report line.
    """
    match = EXPECTATION.match(path.read_text(encoding='utf-8'))
    if match is None:
        return False, f'{path.name}: first line states no expectation'
    expected, options = match.groups()
    with tempfile.TemporaryDirectory() as folder:
        run(['spin', '-a', str(path.resolve())], folder)
        flags = ['-O2', '-DSAFETY', *(options or '').split()]
        run(['gcc', *flags, '-o', 'pan', 'pan.c'], folder)
        output = run(['./pan', f'-m{MAX_SEARCH_DEPTH}'], folder)
    errors = int(re.search(r'errors: (\d+)', output).group(1))
    states = re.search(r'(\S+) states, stored', output).group(1)
    complete = 'max search depth too small' not in output
    passed = errors == 0 and complete
    outcome = 'pass' if passed else 'fail'
    line = (
        f'{path.name}: expected {expected}, found {outcome}, {states} states'
    )
    return outcome == expected, line


def main():
    """Check all specifications; exit with status 1 if one does not match."""
    if shutil.which('spin') is None:
        sys.exit(INSTALL_HINT)
    paths = sorted(pathlib.Path(sys.argv[1]).glob('*.pml'))
    with concurrent.futures.ThreadPoolExecutor(WORKERS) as executor:
        results = list(executor.map(check_model, paths))
    for _, line in results:
        sys.stdout.write(f'{line}\n')
    if not results or not all(passed for passed, _ in results):
        sys.exit(1)


if __name__ == '__main__':
    main()
