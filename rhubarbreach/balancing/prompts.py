"""Parts of prompts that endpoints have probably cached.

Designed for prompts of thousands of tokens that share their first parts: an
endpoint does not read a part again if it has cached it and all parts before
it. Hosts see only their own requests, so this is a hint; a wrong one costs the
time to read the prompt.
"""

import collections

__all__ = ['CachedPrompts']

# Tokens that an endpoint is assumed to keep if its memory is unknown.
DEFAULT_CAPACITY_TOKENS = 16384
# Parts remembered for each endpoint, which bounds the memory of this host.
MAX_PARTS = 256


class CachedPrompts:
    """Parts that one endpoint has read, the least recently used first."""

    __slots__ = ('chains', 'tokens')

    def __init__(self):
        # Tokens of each part by the chain of parts up to it.
        self.chains = collections.OrderedDict()
        self.tokens = 0

    def count_unread(self, cost):
        """Return the tokens of a prompt that the endpoint has to read."""
        unread = cost.prompt_tokens
        for chain in cost.chains:
            tokens = self.chains.get(chain)
            if tokens is None:
                break
            unread -= tokens
        return max(0, unread)

    def record(self, cost):
        """Record that the endpoint has read a prompt."""
        for chain, part in zip(cost.chains, cost.parts, strict=True):
            self.tokens += part.tokens - self.chains.get(chain, 0)
            self.chains[chain] = part.tokens
            self.chains.move_to_end(chain)
        capacity = cost.capacity_tokens or DEFAULT_CAPACITY_TOKENS
        while self.chains and (
            self.tokens > capacity or len(self.chains) > MAX_PARTS
        ):
            _, tokens = self.chains.popitem(last=False)
            self.tokens -= tokens
