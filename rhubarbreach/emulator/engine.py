"""Continuous batching in arrival order, one token a step and sequence."""

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
    """Speed and memory of an emulated engine; times in seconds.

    Parameters
    ----------
    slots : int
        Sequences in the batch at most.
    step_base, step_slope : float
        A decoding step takes `step_base + step_slope * batch size`.
    prefill_token : float
        Time for each prompt token that is not cached.
    cache_blocks : int
        Capacity of the prefix cache.
    event_delay, event_loss : float
        Delay and lost fraction of cache events.
    load_lag : float
        Age of the reported load.
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
    """Load of the engine at one time."""

    measured_at: float
    running: int
    waiting: int
    slots: int
    kv_used: float


class Sequence:
    """One request in the engine.

    Parameters
    ----------
    attempt_id : str
        Id from the caller; answers and cancellation refer to it.
    prompt : str
        Prompt.
    first_index : int
        First token to make; larger than 0 when a stream is resumed.
    max_tokens : int
        Index after the last token.
    """

    def __init__(self, attempt_id, prompt, first_index, max_tokens):
        self.attempt_id = attempt_id
        self.prompt = prompt
        self.index = first_index
        self.max_tokens = max_tokens
        self.cancelled = False
        # Token indexes, then None at the end.
        self.output = queue.SimpleQueue()

    def finish(self):
        """Tell the reader that no token follows."""
        self.output.put(None)


class Engine:
    """Emulated engine with its own decoding task.

    Parameters
    ----------
    settings : EngineSettings
        Speed and memory.
    random : random.Random
        Source of lost cache events.
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
        self.reports = collections.deque()
        self.slowdown = 1.0
        self.hanging = False
        self.closed = False
        self.made_tokens = 0
        self.thread = threading.Thread(
            target=self.run, name='engine', daemon=True
        )
        self.thread.start()

    def submit(self, sequence):
        """Queue a sequence behind all earlier ones."""
        if sequence.index >= sequence.max_tokens:
            # A stream that broke between its last token and its end.
            sequence.finish()
            return
        with self.changed:
            self.waiting.append(sequence)
            self.changed.notify()

    def cancel(self, attempt_id):
        """Cancel a sequence; return whether it was found."""
        found = False
        with self.changed:
            for sequence in [*self.waiting, *self.running]:
                if sequence.attempt_id == attempt_id:
                    sequence.cancelled = True
                    found = True
            self.changed.notify()
        return found

    def run(self):
        """Decode until closed."""
        while not self.closed:
            self.report()
            if self.hanging:
                self.pause(HANG_POLL_SECONDS)
                continue
            prefill = self.admit()
            if not self.running:
                with self.changed:
                    if not self.waiting:
                        self.changed.wait(IDLE_WAIT_SECONDS)
                continue
            size = len(self.running)
            step = self.settings.step_base + self.settings.step_slope * size
            self.pause((step + prefill) * self.slowdown)
            self.emit()

    def pause(self, seconds):
        """Sleep for the time that a computation takes."""
        threading.Event().wait(seconds)

    def admit(self):
        """Move waiting sequences into the batch; return the prefill time."""
        prefill = 0.0
        with self.changed:
            self.waiting = collections.deque(
                one for one in self.waiting if not drop_cancelled(one)
            )
            while self.waiting and len(self.running) < self.settings.slots:
                sequence = self.waiting.popleft()
                self.running.append(sequence)
                prefill += self.prefill(sequence)
        return prefill

    def prefill(self, sequence):
        """Return the time to read the prompt, given the cached prefix."""
        digests = tokens.digest_blocks(sequence.prompt)
        hits = self.cache.count_hits(digests)
        cached = hits * tokens.BLOCK_CHARACTERS // tokens.CHARACTERS_PER_TOKEN
        total = tokens.count_prompt_tokens(sequence.prompt) + sequence.index
        self.cache.store(digests, clock.monotonic())
        return max(0, total - cached) * self.settings.prefill_token

    def emit(self):
        """Hand one token to each running sequence."""
        with self.changed:
            kept = []
            for sequence in self.running:
                if drop_cancelled(sequence):
                    continue
                sequence.output.put(sequence.index)
                sequence.index += 1
                self.made_tokens += 1
                if sequence.index >= sequence.max_tokens:
                    sequence.finish()
                else:
                    kept.append(sequence)
            self.running = kept

    def report(self):
        """Keep a load report for later publication."""
        now = clock.monotonic()
        self.reports.append(
            LoadReport(
                now,
                len(self.running),
                len(self.waiting),
                self.settings.slots,
                self.cache.get_used(),
            )
        )
        oldest = now - self.settings.load_lag
        while len(self.reports) > 1 and self.reports[1].measured_at <= oldest:
            self.reports.popleft()

    def get_load(self):
        """Return the load as it was `load_lag` seconds ago."""
        return self.reports[0]

    def close(self):
        """Stop decoding and end all sequences."""
        self.closed = True
        with self.changed:
            for sequence in [*self.waiting, *self.running]:
                sequence.finish()


def drop_cancelled(sequence):
    """End a cancelled sequence; return whether it was cancelled."""
    if sequence.cancelled:
        sequence.finish()
    return sequence.cancelled
