"""Emulated engine with continuous batching in arrival order.

Each decoding step generates one token for every running sequence.
"""

import collections
import dataclasses
import queue
import threading

from rhubarbreach import clock
from rhubarbreach.emulator import cache
from rhubarbreach.emulator import tokens

__all__ = ['Engine', 'EngineSettings', 'Sequence', 'LoadReport']

IDLE_WAIT_SECONDS = 0.05
HANG_POLL_SECONDS = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSettings:
    """Speed and memory of an emulated engine, with times in seconds.

    Parameters
    ----------
    slots : int
        Maximum number of sequences in a batch.
    step_base, step_slope : float
        A decoding step takes `step_base + step_slope * batch size`.
    prefill_token : float
        Prefill time of each prompt token that is not cached.
    cache_blocks : int
        Capacity of the prefix cache, in blocks.
    event_delay : float
        Delay before a cache event is published.
    event_loss : float
        Probability that a cache event is lost.
    load_lag : float
        Age of the load that the engine reports.
    """

    slots: int = 16
    step_base: float = 0.015
    step_slope: float = 0.0006
    prefill_token: float = 0.0001
    cache_blocks: int = 2000
    event_delay: float = 0.5
    event_loss: float = 0.1
    load_lag: float = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of the engine at one point in time."""

    measured_at: float
    running: int
    waiting: int
    slots: int
    kv_used: float


class Sequence:
    """Request that is waiting or running in the engine.

    Parameters
    ----------
    attempt_id : str
        Attempt id of the request; events and cancellation refer to it.
    prompt : str
        Prompt.
    first_index : int
        Index of the first token to generate; above 0 for a resumed stream.
    max_tokens : int
        Index at which the sequence ends, also when it is resumed.
    """

    def __init__(self, attempt_id, prompt, first_index, max_tokens):
        self.attempt_id = attempt_id
        self.prompt = prompt
        self.index = first_index
        self.max_tokens = max_tokens
        self.cancelled = False
        # Indexes of the generated tokens; None marks the end.
        self.output = queue.SimpleQueue()

    def finish(self):
        """Mark the end of the output for the reader."""
        self.output.put(None)


class Engine:
    """Emulated engine that decodes in a background thread.

    Parameters
    ----------
    settings : EngineSettings
        Speed and memory of the engine.
    random : random.Random
        Generator that decides which cache events are lost.
    """

    def __init__(self, settings, random):
        self.settings = settings
        self.cache = cache.PrefixCache(
            settings.cache_blocks,
            settings.event_delay,
            settings.event_loss,
            random,
        )
        self.changed = threading.Condition()
        self.waiting = collections.deque()
        self.running = []
        self.load_reports = collections.deque()
        self.slowdown = 1.0
        self.hanging = False
        self.closed = False
        self.generated_tokens = 0
        self.thread = threading.Thread(
            target=self.run, name='engine', daemon=True
        )
        self.thread.start()

    def submit(self, sequence):
        """Append a sequence to the waiting queue."""
        if sequence.index >= sequence.max_tokens:
            # The stream broke after its last token but before its end marker.
            sequence.finish()
            return
        with self.changed:
            self.waiting.append(sequence)
            self.changed.notify()

    def cancel(self, attempt_id):
        """Cancel the sequence of an attempt; return whether it was found."""
        is_found = False
        with self.changed:
            for sequence in [*self.waiting, *self.running]:
                if sequence.attempt_id == attempt_id:
                    sequence.cancelled = True
                    is_found = True
            self.changed.notify()
        return is_found

    def run(self):
        """Run decoding steps until closed."""
        while not self.closed:
            self.record_load()
            if self.hanging:
                self.pause(HANG_POLL_SECONDS)
                continue
            prefill_seconds = self.admit()
            if not self.running:
                with self.changed:
                    if not self.waiting:
                        self.changed.wait(IDLE_WAIT_SECONDS)
                continue
            batch_size = len(self.running)
            step_seconds = (
                self.settings.step_base + self.settings.step_slope * batch_size
            )
            self.pause((step_seconds + prefill_seconds) * self.slowdown)
            self.generate_tokens()

    def pause(self, seconds):
        """Sleep for the duration of an emulated computation."""
        threading.Event().wait(seconds)

    def admit(self):
        """Move waiting sequences into the batch; return their prefill time."""
        prefill_seconds = 0.0
        with self.changed:
            self.waiting = collections.deque(
                sequence
                for sequence in self.waiting
                if not finish_if_cancelled(sequence)
            )
            while self.waiting and len(self.running) < self.settings.slots:
                sequence = self.waiting.popleft()
                self.running.append(sequence)
                prefill_seconds += self.prefill_prompt(sequence)
        return prefill_seconds

    def prefill_prompt(self, sequence):
        """Cache the prompt of a sequence; return its prefill time.

        Tokens of the cached prefix take no time. A resumed sequence also
        prefills the tokens that earlier attempts generated.
        """
        digests = tokens.digest_blocks(sequence.prompt)
        hits = self.cache.count_hits(digests)
        cached_tokens = (
            hits * tokens.BLOCK_CHARACTERS // tokens.CHARACTERS_PER_TOKEN
        )
        total_tokens = (
            tokens.count_prompt_tokens(sequence.prompt) + sequence.index
        )
        self.cache.store(digests, clock.monotonic())
        return (
            max(0, total_tokens - cached_tokens) * self.settings.prefill_token
        )

    def generate_tokens(self):
        """Output one token of each running sequence."""
        with self.changed:
            unfinished = []
            for sequence in self.running:
                if finish_if_cancelled(sequence):
                    continue
                sequence.output.put(sequence.index)
                sequence.index += 1
                self.generated_tokens += 1
                if sequence.index >= sequence.max_tokens:
                    sequence.finish()
                else:
                    unfinished.append(sequence)
            self.running = unfinished

    def record_load(self):
        """Append a report of the current load and drop outdated reports."""
        now = clock.monotonic()
        self.load_reports.append(
            LoadReport(
                now,
                len(self.running),
                len(self.waiting),
                self.settings.slots,
                self.cache.get_used_fraction(),
            )
        )
        oldest = now - self.settings.load_lag
        while (
            len(self.load_reports) > 1
            and self.load_reports[1].measured_at <= oldest
        ):
            self.load_reports.popleft()

    def get_load(self):
        """Return the load as of `load_lag` seconds ago."""
        return self.load_reports[0]

    def close(self):
        """Stop decoding and end all sequences."""
        self.closed = True
        with self.changed:
            for sequence in [*self.waiting, *self.running]:
                sequence.finish()


def finish_if_cancelled(sequence):
    """Finish a sequence if it is cancelled; return whether it is."""
    if sequence.cancelled:
        sequence.finish()
    return sequence.cancelled
