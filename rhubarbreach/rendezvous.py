"""Assignment of names to hosts by rendezvous hashing."""

import hashlib

__all__ = ['rank_hosts']


def rank_hosts(name, host_ids, count):
    """Return the hosts responsible for a name, highest rank first.

    Hosts that know the same candidates compute the same result. The loss of
    a host moves only the names that it was responsible for.

    Parameters
    ----------
    name : str
        Name that is assigned to hosts.
    host_ids : iterable of str
        Candidates.
    count : int
        Maximum number of hosts to return.

    Returns
    -------
    tuple of str
        At most `count` host ids.
    """

    def score(host_id):
        text = f'{name}\0{host_id}'.encode()
        return hashlib.blake2b(text, digest_size=8).digest(), host_id

    return tuple(sorted(host_ids, key=score, reverse=True)[:count])
