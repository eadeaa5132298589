"""Prompt parts that an entry host holds back, and its evidence on others.

See `crash_evidence` for how the leader judges a part.
"""

import collections
import dataclasses
import threading

from rhubarbreach import codes
from rhubarbreach.fleet import quarantine_trials
from rhubarbreach.protocol import fleetmessages

__all__ = ['Quarantine']

# Crashes are reported again to a new leader for this long.
CRASH_RETENTION_SECONDS = 60.0
MAX_CRASHES = 256
# Bytes of prompts in one report, which keeps the newest crashes. A message
# beyond its limit is never sent.
MAX_REPORT_BYTES = 64 * 1024
PART_OVERHEAD_BYTES = 8
# Parts of which the time of the last answer is remembered.
MAX_ANSWERED_PARTS = 8192


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """Request that broke at an endpoint.

    `has_head` is whether the head of a response had arrived, and `time` is in
    seconds of the monotonic clock. `number` counts the crashes. `service` is
    that of the endpoint. `run_seconds` is the time from the first event to the
    crash of the endpoint, None without an event, and `is_resumed` whether
    another endpoint had begun the response.
    """

    number: int
    endpoint_id: str
    prompt: tuple[str, ...]
    has_head: bool
    time: float
    service: str
    run_seconds: float | None
    is_resumed: bool


class Quarantine:
    """Quarantined prompt parts, and what this host has seen of others.

    Parameters
    ----------
    on_crash : callable, optional
        Called without arguments when there is a crash to report.
    """

    def __init__(self, on_crash=None):
        self.on_crash = on_crash
        self.lock = threading.Lock()
        self.revision = 0
        # Monotonic time until which each part is held back.
        self.deadlines = {}
        # Quarantined parts on which endpoints crash during their responses.
        self.late_parts = frozenset()
        # Number and deadline of the granted trial of each part, the number of
        # the last one that was used, and the parts whose trial has not ended.
        self.trials = {}
        self.used_trials = {}
        self.running_trials = set()
        # Quarantined parts of requests that came since the last report.
        self.wanted_parts = set()
        self.suspects = frozenset()
        self.answered_at = collections.OrderedDict()
        self.completed_at = collections.OrderedDict()
        # Whole responses by service since the last report.
        self.completions = collections.Counter()
        # Monotonic time of the last answer of each service.
        self.service_answered_at = {}
        self.crashes = collections.deque(maxlen=MAX_CRASHES)
        self.crash_count = 0
        # Number of the last crash in the latest report, and of the last one
        # that the leader named here knows.
        self.sent_number = 0
        self.known_number = 0
        self.leader_id = None

    def find_refusal(self, prompt, now):
        """Return a refusal if a part of a prompt is quarantined, else None.

        It is not refused while it may be sent as a trial of its part. Call
        `begin_trial` before it is sent.
        """
        held = self.list_held(prompt, now)
        if not held:
            return None
        with self.lock:
            self.wanted_parts.update(held)
            if self.find_trial(held, now) is not None:
                return None
        return codes.Refusal(
            codes.ResultCode.QUARANTINED,
            'endpoints crash on the request or a part of its prompt',
            retry_after=max(held.values()) - now,
        )

    def select_late(self, prompt):
        """Return the parts of a prompt that may crash a further endpoint.

        The request is a stream that has begun: other parts are not at fault,
        as an endpoint has answered them.
        """
        late_parts = self.late_parts
        return tuple(part for part in prompt if part in late_parts)

    def list_held(self, prompt, now):
        """Return the quarantined parts of a prompt with their deadlines."""
        deadlines = self.deadlines
        return {
            part: deadlines[part]
            for part in prompt
            if deadlines.get(part, now) > now
        }

    def find_trial(self, held, now):
        """Return the part that a request may try, or None.

        A request with several quarantined parts would not tell which of them
        is at fault. Callers have to hold the lock.
        """
        if len(held) != 1:
            return None
        (part,) = held
        number, deadline = self.trials.get(part, (0, now))
        is_open = now < deadline and number > self.used_trials.get(part, 0)
        return part if is_open else None

    def begin_trial(self, prompt, now):
        """Use the trial of the quarantined part of a prompt, if it has one.

        Returns
        -------
        bool, str or None
            Whether the request may be sent, and the part that it tries.
        """
        held = self.list_held(prompt, now)
        if not held:
            return True, None
        with self.lock:
            part = self.find_trial(held, now)
            if part is None:
                return False, None
            self.used_trials[part], _ = self.trials[part]
            self.running_trials.add(part)
        return True, part

    def end_trial(self, part, was_sent):
        """End the trial of a part.

        Parameters
        ----------
        part : str
            Part that was tried.
        was_sent : bool
            Whether the request may have reached an endpoint. Otherwise the
            next request may be the trial.
        """
        with self.lock:
            self.running_trials.discard(part)
            if not was_sent and part in self.used_trials:
                self.used_trials[part] -= 1

    def record_answer(self, prompt, now, service=''):
        """Record that an endpoint has begun to answer a request."""
        with self.lock:
            self.service_answered_at[service] = now
            note_parts(self.answered_at, prompt, now)

    def record_completion(self, prompt, now, service=''):
        """Record that an endpoint has answered a request from start to end."""
        with self.lock:
            note_parts(self.completed_at, prompt, now)
            if self.suspects:
                self.completions[service] += 1

    def record_crash(
        self,
        endpoint_id,
        prompt,
        has_head,
        now,
        service='',
        run_seconds=None,
        is_resumed=False,
    ):
        """Record that a request broke.

        Parameters
        ----------
        endpoint_id, service : str
            Endpoint, and its service.
        prompt : tuple of str
            Parts of the request's prompt.
        has_head : bool
            Whether the head of a response had arrived.
        now : float
            Time of the break in seconds of the monotonic clock.
        run_seconds : float, optional
            Time since the first event, if there was one and the endpoint has
            crashed.
        is_resumed : bool, optional
            Whether another endpoint had begun the response.
        """
        if not prompt[:-1]:
            return
        with self.lock:
            self.crash_count += 1
            self.crashes.append(
                Crash(
                    self.crash_count,
                    endpoint_id,
                    prompt,
                    has_head,
                    now,
                    service,
                    run_seconds,
                    is_resumed,
                )
            )
        if self.on_crash is not None:
            self.on_crash()

    def make_trial_report(self):
        """Return what the leader needs to know for trials of parts.

        Returns
        -------
        tuple of str, dict of str to int
            Quarantined parts of requests since the last report, and the number
            of the last trial of each part that was used.
        """
        with self.lock:
            wanted = tuple(self.wanted_parts)
            self.wanted_parts.clear()
            used = {
                part: number
                for part, number in self.used_trials.items()
                if part not in self.running_trials
            }
            return wanted, used

    def make_report(self, now):
        """Return the evidence for the next message to the leader.

        Returns
        -------
        tuple of CrashNotice, dict of str to float
            Crashes that the leader does not know, and the seconds since the
            last answer to each part that it suspects or has quarantined.
        """
        with self.lock:
            while self.crashes and (
                now - self.crashes[0].time > CRASH_RETENTION_SECONDS
            ):
                self.crashes.popleft()
            crashes = tuple(
                fleetmessages.CrashNotice(
                    crash.endpoint_id,
                    crash.prompt,
                    crash.has_head,
                    now - crash.time,
                    crash.service,
                    crash.run_seconds,
                    crash.is_resumed,
                )
                for crash in self.select_crashes()
            )
            self.sent_number = self.crash_count
            answered = self.list_ages(self.answered_at, now)
        return crashes, answered

    def list_completed(self, now):
        """Return the seconds since the last whole response to each part.

        Only parts that the leader suspects or has quarantined are listed.
        """
        with self.lock:
            return self.list_ages(self.completed_at, now)

    def pop_completions(self):
        """Return the whole responses by service since the last call."""
        with self.lock:
            completions = dict(self.completions)
            self.completions.clear()
            return completions

    def list_ages(self, times, now):
        """Return the age of the times of suspected and quarantined parts.

        Callers have to hold the lock.
        """
        return {
            part: now - times[part]
            for part in self.suspects | self.deadlines.keys()
            if part in times
        }

    def list_service_answers(self, now):
        """Return the seconds since the last answer of each service.

        The leader needs them only while it suspects parts.
        """
        with self.lock:
            if not self.suspects:
                return {}
            return {
                service: now - time
                for service, time in self.service_answered_at.items()
            }

    def select_crashes(self):
        """Return the newest unreported crashes that fit into a report."""
        chosen = []
        remaining_bytes = MAX_REPORT_BYTES
        for crash in reversed(self.crashes):
            if crash.number <= self.known_number:
                break
            remaining_bytes -= sum(
                len(part) + PART_OVERHEAD_BYTES for part in crash.prompt
            )
            if remaining_bytes < 0 and chosen:
                break
            chosen.append(crash)
        return chosen[::-1]

    def apply_reply(self, reply, now):
        """Apply the reply of the leader to the latest report.

        Parameters
        ----------
        reply : ExchangeReply
            Reply of the leader.
        now : float
            Seconds of the monotonic clock.
        """
        with self.lock:
            self.suspects = frozenset(reply.suspect_parts)
            if reply.quarantined is not None:
                self.revision = reply.quarantine_revision
                self.deadlines = {
                    part: now + seconds
                    for part, seconds in reply.quarantined.items()
                }
                self.late_parts = frozenset(reply.late_parts)
                self.used_trials = {
                    part: number
                    for part, number in self.used_trials.items()
                    if part in self.deadlines
                }
            trial_deadline = now + quarantine_trials.GRANT_SECONDS
            self.trials = {
                part: (number, trial_deadline)
                for part, number in reply.trials.items()
            }
            # A new leader has to be told all crashes again.
            is_same = reply.leader_id == self.leader_id
            self.leader_id = reply.leader_id
            self.known_number = self.sent_number if is_same else 0


def note_parts(times, prompt, now):
    """Set the time of the shared parts of a prompt, and forget the oldest."""
    for part in prompt[:-1]:
        times[part] = now
        times.move_to_end(part)
    while len(times) > MAX_ANSWERED_PARTS:
        times.popitem(last=False)
