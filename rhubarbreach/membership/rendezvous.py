"""Rendezvous hashing: which hosts are responsible for a name."""

import hashlib

__all__ = ['rank_hosts']


def rank_hosts(name, host_ids, count):
    """Return the hosts responsible for a name, best first.

    All hosts that know the same set of hosts agree, and a lost host moves
    only the names that it was responsible for.

    Parameters
    ----------
    name : str
        What the hosts are responsible for.
    host_ids : iterable of str
        Candidates.
    count : int
        Number of hosts wanted.

    Returns
    -------
    tuple of str
        At most `count` host ids.
    """

    def score(host_id):
        text = f'{name}\0{host_id}'.encode()
        return hashlib.blake2b(text, digest_size=8).digest(), host_id

    return tuple(sorted(host_ids, key=score, reverse=True)[:count])
