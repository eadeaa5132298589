"""Quarantine of prompt parts that crash endpoints, on the leader.

The quarantine is a part of the ledger, so that it holds under the next leader
and for hosts that join later. The evidence is soft state: the hosts report
their latest crashes again to a new leader.
"""

import threading
import time

from rhubarbreach.backlog import commands
from rhubarbreach import eventlog
from rhubarbreach.fleet import crash_evidence
from rhubarbreach.fleet import exchange_schedule
from rhubarbreach.fleet import quarantine_trials

__all__ = ['QuarantineManager']

LOG = eventlog.Logger('quarantine')

QUARANTINE_SECONDS = 3600.0
COMMIT_TIMEOUT_SECONDS = 3.0


class QuarantineManager:
    """Evidence of all entry hosts, and the quarantine that follows from it.

    Parameters
    ----------
    ledger : Ledger
        Replicated state, which holds the quarantine.
    propose : callable
        Commits a command; takes the command and a deadline, and returns a
        future.
    count_endpoints : callable, optional
        Returns the number of endpoints as a dict by service.
    """

    def __init__(self, ledger, propose, count_endpoints=dict):
        self.count_endpoints = count_endpoints
        self.ledger = ledger
        self.propose = propose
        self.lock = threading.Lock()
        self.evidence = crash_evidence.CrashEvidence()
        # Monotonic time since when the hosts are asked about each suspect.
        self.suspected_since = {}
        # Monotonic time since when this leader knows each quarantined part.
        self.held_since = {}
        self.trials = quarantine_trials.TrialTable()
        # Quarantined parts that an endpoint has answered.
        self.cleared = set()
        self.pending = None

    @property
    def suspects(self):
        """Parts whose answers the hosts have to report."""
        return tuple(self.suspected_since)

    def reset(self):
        """Forget the evidence of an earlier time as the leader."""
        with self.lock:
            self.evidence = crash_evidence.CrashEvidence()
            self.suspected_since = {}
            self.held_since = {}
            self.trials = quarantine_trials.TrialTable()
            self.cleared = set()

    def update_suspects(self, quarantined, now):
        """Determine the suspects again; callers have to hold the lock."""
        self.suspected_since = {
            part: self.suspected_since.get(part, now)
            for part in self.evidence.list_suspects(quarantined)
        }

    def report(self, host_id, message, now):
        """Record the crashes and answers that an entry host has seen."""
        if not (
            message.crashes
            or message.answered
            or message.completed
            or message.completions
            or message.service_answers
            or message.wanted_parts
            or message.used_trials
        ):
            return
        _, quarantined = self.ledger.get_quarantine()
        late_parts = self.ledger.get_late_parts()
        with self.lock:
            for notice in message.crashes:
                self.evidence.add_crash(
                    notice.endpoint_id,
                    notice.prompt,
                    notice.has_head,
                    now - notice.age,
                    now,
                    notice.service,
                    notice.run_seconds,
                    notice.is_resumed,
                )
            for part, age in message.answered.items():
                self.evidence.add_answer(part, now - age)
                if part not in late_parts:
                    self.clear(part, now - age, now)
            for part, age in message.completed.items():
                self.evidence.add_completion(part, now - age)
                self.clear(part, now - age, now)
            for service, count in message.completions.items():
                self.evidence.add_completions(service, count, now)
            for service, age in message.service_answers.items():
                self.evidence.add_service_answer(service, now - age)
            self.trials.report(
                host_id, message.wanted_parts, message.used_trials, now
            )
            if message.crashes:
                self.update_suspects(quarantined, now)

    def clear(self, part, time, now):
        """Release a part answered at a time, if it was quarantined before.

        Callers have to hold the lock.
        """
        if time > self.held_since.get(part, now):
            self.cleared.add(part)

    def list_quarantined(self, known_revision):
        """Return the revision of the quarantine, and its parts if not known.

        Returns
        -------
        int, dict of str to float or None
            Revision, and the remaining seconds by part.
        """
        if known_revision == self.ledger.quarantine_revision:
            return known_revision, None
        revision, parts = self.ledger.get_quarantine()
        unix_time = time.time()
        return revision, {
            part: max(0.0, until - unix_time) for part, until in parts.items()
        }

    def list_trials(self, host_id, now):
        """Return the trials that a host may make, as numbers by part."""
        if not self.trials.trials:
            return {}
        numbers = {p: n for p, (n, _) in self.ledger.get_trials().items()}
        with self.lock:
            return self.trials.list_grants(host_id, numbers, now)

    def advance(self, now, entry_host_count):
        """Quarantine a culprit, try or release parts, if there are any.

        Parameters
        ----------
        now : float
            Seconds of the monotonic clock.
        entry_host_count : int
            Number of hosts that report. The more there are, the later a crash
            is known to have been reported by all.
        """
        if self.pending is not None and not self.pending.done():
            return
        _, quarantined = self.ledger.get_quarantine()
        trials = self.ledger.get_trials()
        unix_time = time.time()
        settle = crash_evidence.compute_settle_seconds(
            exchange_schedule.compute_interval(entry_host_count)
        )
        with self.lock:
            self.evidence.expire(now)
            self.update_suspects(quarantined, now)
            latest = now - settle
            asked = {p for p, t in self.suspected_since.items() if t <= latest}
            culprit = self.evidence.find_culprit(quarantined, latest, asked)
            late_culprit = None
            if culprit is None and asked:
                late_culprit = self.evidence.find_late_culprit(
                    quarantined, latest, asked, self.count_endpoints()
                )
            self.held_since = {
                part: self.held_since.get(part, now) for part in quarantined
            }
            self.cleared &= quarantined.keys()
            cleared = sorted(self.cleared)
            self.trials.keep({p: n for p, (n, _) in trials.items()})
            due = self.trials.find_due(
                [
                    part
                    for part, (number, at) in trials.items()
                    if at <= unix_time
                    and quarantine_trials.may_try(part, number)
                ],
                now,
            )
        ended = [part for part, end in quarantined.items() if end < unix_time]
        command = None
        if cleared or ended:
            LOG.info(
                'event=parts_released cleared={} ended={}', cleared, ended
            )
            command = commands.ReleaseParts(tuple({*cleared, *ended}))
        elif culprit is not None or late_culprit is not None:
            part = culprit or late_culprit
            LOG.warning(
                'event=part_quarantined part={} late={}', part, culprit is None
            )
            command = commands.QuarantinePart(
                part,
                unix_time + QUARANTINE_SECONDS,
                0,
                unix_time + quarantine_trials.compute_pause(0),
                late=culprit is None,
            )
        elif due is not None:
            command = self.begin_trial(*due, quarantined, trials, now)
        if command is not None:
            self.pending = self.propose(
                commands.FAMILY.encode(command), now + COMMIT_TIMEOUT_SECONDS
            )

    def begin_trial(self, part, host_id, quarantined, trials, now):
        """Begin the next trial of a part; return the command to commit."""
        number = trials[part][0] + 1
        with self.lock:
            self.trials.begin(part, host_id, number, now)
        LOG.info(
            'event=part_tried part={} host={} trial={}', part, host_id, number
        )
        return commands.QuarantinePart(
            part,
            quarantined[part],
            number,
            time.time() + quarantine_trials.compute_pause(number),
        )
