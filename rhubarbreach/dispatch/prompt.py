"""Digests of requests and of prompt prefixes, and bodies that resume."""

import hashlib
import json

import msgspec

from rhubarbreach import exceptions
from rhubarbreach import serialization

__all__ = ['BLOCK_CHARACTERS', 'add_resume', 'digest_call', 'list_prefixes']

DIGEST_BYTES = 16
PREFIX_BYTES = 8

# Prefix digests cover blocks of the prompt of this many characters, and
# routing uses the first MAX_BLOCKS of them.
BLOCK_CHARACTERS = 64
MAX_BLOCKS = 32


class Prompt(msgspec.Struct):
    """Members of a request body that hold the prompt."""

    prompt: object = ''
    messages: list[object] | None = None


DECODER = msgspec.json.Decoder(Prompt)


def digest_call(path, body):
    """Return the digest of path and body of a request.

    Requests that are suspected of crashing endpoints are tracked by it.

    Parameters
    ----------
    path : str
        HTTP path.
    body : bytes
        Body of the caller, the same for all attempts.
    """
    digest = hashlib.blake2b(path.encode(), digest_size=DIGEST_BYTES)
    digest.update(b'\n')
    digest.update(body)
    return digest.digest()


def list_prefixes(body):
    """Return digests of growing prefixes of the prompt, shortest first.

    Parameters
    ----------
    body : bytes
        JSON body of a chat or text completion.

    Returns
    -------
    tuple of bytes
        One digest for each complete block of `BLOCK_CHARACTERS`; empty if
        the body holds no prompt.
    """
    try:
        text = join_prompt(serialization.decode_json(DECODER, body))
    except exceptions.MessageError:
        return ()
    text = text[: BLOCK_CHARACTERS * MAX_BLOCKS]
    digests = []
    chain = hashlib.blake2b(digest_size=PREFIX_BYTES)
    for start in range(0, len(text), BLOCK_CHARACTERS):
        block = text[start : start + BLOCK_CHARACTERS]
        if len(block) < BLOCK_CHARACTERS:
            break
        chain.update(block.encode('utf-8', 'replace'))
        digests.append(chain.copy().digest())
    return tuple(digests)


def join_prompt(decoded):
    """Return the prompt as one string, in the form that engines digest."""
    if decoded.messages is not None:
        return json.dumps(decoded.messages, sort_keys=True)
    return str(decoded.prompt)


def add_resume(body, tokens):
    """Return a JSON body that resumes a stream after delivered tokens.

    Parameters
    ----------
    body : bytes
        JSON object without the member `resume_from`.
    tokens : int
        Number of tokens already delivered.
    """
    decoded = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    decoded['resume_from'] = msgspec.Raw(b'%d' % tokens)
    return msgspec.json.encode(decoded)
