"""Deterministic tokens, so that tests can verify a resumed stream."""

import hashlib
import json

__all__ = [
    'count_prompt_tokens',
    'digest_blocks',
    'get_prompt',
    'make_token',
]

WORDS = [
    'amber',
    'birch',
    'cedar',
    'delta',
    'ember',
    'fjord',
    'grove',
    'heron',
    'inlet',
    'juniper',
    'kelp',
    'larch',
    'maple',
    'north',
    'ocean',
    'pine',
    'quartz',
    'reed',
    'slate',
    'tidal',
    'umber',
    'vale',
    'willow',
    'yarrow',
]
BLOCK_CHARACTERS = 64
CHARACTERS_PER_TOKEN = 4
DIGEST_BYTES = 8


def get_prompt(body):
    """Return the prompt of a completion request as one string.

    Parameters
    ----------
    body : dict
        Decoded JSON body with `messages` or `prompt`.

    Returns
    -------
    str
        Prompt, or the messages in JSON.
    """
    if 'messages' in body:
        return json.dumps(body['messages'], sort_keys=True)
    return str(body.get('prompt', ''))


def make_token(prompt, index):
    """Return the token at `index` of the completion of a prompt."""
    text = f'{index}:{prompt}'.encode()
    digest = hashlib.blake2b(text, digest_size=2).digest()
    return WORDS[int.from_bytes(digest) % len(WORDS)] + ' '


def count_prompt_tokens(prompt):
    """Return the number of tokens in a prompt."""
    return 1 + len(prompt) // CHARACTERS_PER_TOKEN


def digest_blocks(prompt):
    """Return the digest of each prefix of whole blocks of a prompt.

    Parameters
    ----------
    prompt : str
        Prompt.

    Returns
    -------
    list of str
        Hexadecimal digests, the shortest prefix first.
    """
    digests = []
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    end = len(prompt) - len(prompt) % BLOCK_CHARACTERS
    for start in range(0, end, BLOCK_CHARACTERS):
        hasher.update(prompt[start : start + BLOCK_CHARACTERS].encode())
        digests.append(hasher.hexdigest())
    return digests
