"""Play many series of losses of stores.

Examples
--------
    python -m rhubarbreach.bench.storelosses --seeds 1000:1500
"""

import argparse
import random
import sys

from rhubarbreach.bench.storelosses import lossseries
from rhubarbreach.bench.storelosses import virtualfleets

__all__ = ['main']


def main():
    """Play the series; return 1 if a guarantee was breached in one."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', default='0:100', help='FIRST:END')
    parser.add_argument(
        '--overlaps',
        action='store_true',
        help='lose disks while other machines are down, frozen or cut off',
    )
    parser.add_argument(
        '--deployment',
        choices=sorted(virtualfleets.DEPLOYMENTS),
        default='small',
        help='numbers of the fleet (%(default)s)',
    )
    options = parser.parse_args()
    deployment = virtualfleets.DEPLOYMENTS[options.deployment]
    first, end = (int(part) for part in options.seeds.split(':'))
    failed = []
    for seed in range(first, end):
        series = lossseries.make_series(
            random.Random(seed), options.overlaps, deployment
        )
        try:
            lossseries.play_series(series)
        except AssertionError as error:
            failed.append(seed)
            print(f'seed {seed}: {error}')
            print('\n'.join(series.fleet.events), flush=True)
    print(f'{end - first} series, failed: {failed}')
    return int(bool(failed))


if __name__ == '__main__':
    sys.exit(main())
