"""Virtual time, links and engines for measurements without sockets."""

import collections
import concurrent.futures
import dataclasses
import heapq
import itertools

from rhubarbreach.emulator import engine

__all__ = [
    'EngineModel',
    'EventLoop',
    'Sequence',
    'VirtualLink',
    'VirtualNetwork',
]


# Prompt tokens in the cache of the emulated endpoint.
CACHE_TOKENS = 2000 * 16


class EventLoop:
    """Events in the order of virtual time; time in seconds."""

    def __init__(self):
        self.now = 0.0
        self.heap = []
        self.order = itertools.count()

    def monotonic(self):
        """Return the virtual time."""
        return self.now

    def after(self, delay, action, *arguments):
        """Call a function after a delay."""
        event = (self.now + delay, next(self.order), action, arguments)
        heapq.heappush(self.heap, event)

    def every(self, period, action, first=0.0):
        """Call a function again and again."""

        def run():
            self.after(period, run)
            action()

        self.after(first, run)

    def run(self, until):
        """Run all events up to a time."""
        while self.heap and self.heap[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self.heap)
            action(*arguments)
        self.now = until


class VirtualNetwork:
    """Links of all hosts.

    Parameters
    ----------
    loop : EventLoop
        Virtual time.
    get_delay : callable
        `get_delay(sender_id, receiver_id)` in seconds.
    """

    def __init__(self, loop, get_delay):
        self.loop = loop
        self.get_delay = get_delay
        self.links = {}
        self.messages = collections.Counter()

    def deliver(self, sender_id, receiver_id, action, *arguments):
        """Call a function at the receiver after the delay."""
        delay = self.get_delay(sender_id, receiver_id)
        self.loop.after(delay, action, *arguments)


class VirtualLink:
    """Stands in for `protocol.link.Link` in virtual time."""

    def __init__(self, network, host_id):
        self.network = network
        self.host_id = host_id
        self.handlers = {}
        network.links[host_id] = self

    def register(self, message_type, handler, inline=False):
        """Set the handler of a message type."""
        self.handlers[message_type] = handler

    def set_peer(self, peer_id, address):
        """Do nothing: all links know each other."""

    def send(self, peer_id, message):
        """Send a message without a reply."""
        peer = self.network.links.get(peer_id)
        if peer is None:
            return False
        self.network.messages[self.host_id] += 1
        self.network.deliver(
            self.host_id, peer_id, peer.handle, self.host_id, message, None
        )
        return True

    def call(self, peer_id, message, _deadline):
        """Send a message and return the future of its reply."""
        future = concurrent.futures.Future()
        peer = self.network.links[peer_id]
        self.network.messages[self.host_id] += 1
        self.network.deliver(
            self.host_id, peer_id, peer.handle, self.host_id, message, future
        )
        return future

    def handle(self, sender_id, message, future):
        """Run the handler and send its reply."""
        handler = self.handlers.get(type(message))
        reply = handler(sender_id, message) if handler else None
        if future is not None and reply is not None:
            self.network.deliver(
                self.host_id, sender_id, future.set_result, reply
            )


@dataclasses.dataclass(slots=True)
class Sequence:
    """One attempt in an engine.

    Parameters
    ----------
    key : bytes
        Digest of the prompt.
    prompt, output : int
        Tokens to read and to make.
    resumed : int
        Tokens made by an earlier attempt, which are read as well.
    on_first, on_end : callable
        Called with the sequence after the first and the last token.
    """

    key: bytes
    prompt: int
    output: int
    resumed: int
    on_first: object
    on_end: object
    made: int = 0
    started_at: float = 0.0
    cancelled: bool = False


class EngineModel:
    """Continuous batching in arrival order, as the emulated endpoint.

    Parameters
    ----------
    loop : EventLoop
        Virtual time.
    settings : EngineSettings
        Speed of the emulated endpoint.
    """

    def __init__(self, loop, settings=None):
        self.loop = loop
        self.settings = settings or engine.EngineSettings()
        self.waiting = collections.deque()
        self.running = []
        self.stepping = False
        self.cached = collections.OrderedDict()
        self.cached_tokens = 0

    def submit(self, sequence):
        """Queue a sequence behind all earlier ones."""
        self.waiting.append(sequence)
        if not self.stepping:
            self.step()

    def cancel(self, sequence):
        """Drop a sequence at the next step."""
        sequence.cancelled = True

    def step(self):
        """Admit sequences and decode one token of each."""
        self.running = [one for one in self.running if not one.cancelled]
        prefill = 0.0
        while self.waiting and len(self.running) < self.settings.slots:
            sequence = self.waiting.popleft()
            if sequence.cancelled:
                continue
            sequence.started_at = self.loop.now
            self.running.append(sequence)
            prefill += self.read(sequence) * self.settings.prefill_token
        self.stepping = bool(self.running)
        if not self.running:
            return
        slope = self.settings.step_slope * len(self.running)
        self.loop.after(self.settings.step_base + slope + prefill, self.emit)

    def read(self, sequence):
        """Return the tokens to be read, and cache the prompt."""
        if sequence.key in self.cached:
            self.cached.move_to_end(sequence.key)
            return sequence.resumed
        self.cached[sequence.key] = sequence.prompt
        self.cached_tokens += sequence.prompt
        while self.cached_tokens > CACHE_TOKENS:
            _, tokens = self.cached.popitem(last=False)
            self.cached_tokens -= tokens
        return sequence.prompt + sequence.resumed

    def emit(self):
        """Hand out the tokens of a step and begin the next one."""
        kept = []
        for sequence in self.running:
            if sequence.cancelled:
                continue
            sequence.made += 1
            if sequence.made == 1:
                sequence.on_first(sequence)
            if sequence.made >= sequence.output:
                sequence.on_end(sequence)
            else:
                kept.append(sequence)
        self.running = kept
        self.step()
