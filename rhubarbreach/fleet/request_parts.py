"""Identity of a request among the parts of its prompt.

A request may crash each endpoint and be sent again. Its digest counts as one
more part of the prompt, so that `crash_evidence` judges it as well.
"""

import hashlib

__all__ = ['add_request_part', 'is_request_part']

PREFIX = 'request:'
DIGEST_BYTES = 12
# Separates the path from the account, neither of which contains it.
SEPARATOR = b'\n'


def is_request_part(part):
    """Return whether a part stands for a whole request."""
    return part.startswith(PREFIX)


def add_request_part(prompt, path, account, body):
    """Return a prompt with the part of its request in the last but one place.

    Parameters
    ----------
    prompt : tuple of str
        Parts of the prompt. The last one is not shared with other requests.
    path, account : str
        Path, and name of the client account.
    body : bytes
        Body.

    Returns
    -------
    tuple of str
        A caller that names a part like a request gets another part for it.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for data in (path.encode(), account.encode()):
        digest.update(data)
        digest.update(SEPARATOR)
    digest.update(body)
    shared = [part for part in prompt[:-1] if not is_request_part(part)]
    return (*shared, PREFIX + digest.hexdigest(), *(prompt[-1:] or ('',)))
