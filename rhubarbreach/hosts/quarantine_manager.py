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
from rhubarbreach.fleet import leader_client

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
    """

    def __init__(self, ledger, propose):
        self.ledger = ledger
        self.propose = propose
        self.lock = threading.Lock()
        self.evidence = crash_evidence.CrashEvidence()
        # Monotonic time since when the hosts are asked about each suspect.
        self.suspected_since = {}
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

    def update_suspects(self, quarantined, now):
        """Determine the suspects again; callers have to hold the lock."""
        self.suspected_since = {
            part: self.suspected_since.get(part, now)
            for part in self.evidence.list_suspects(quarantined)
        }

    def report(self, message, now):
        """Record the crashes and answers that an entry host has seen."""
        if not (
            message.crashes or message.answered or message.service_answers
        ):
            return
        _, quarantined = self.ledger.get_quarantine()
        with self.lock:
            for notice in message.crashes:
                self.evidence.add_crash(
                    notice.endpoint_id,
                    notice.prompt,
                    notice.has_head,
                    now - notice.age,
                    now,
                    notice.service,
                )
            for part, age in message.answered.items():
                self.evidence.add_answer(part, now - age)
            for service, age in message.service_answers.items():
                self.evidence.add_service_answer(service, now - age)
            if message.crashes:
                self.update_suspects(quarantined, now)

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

    def advance(self, now, entry_host_count):
        """Quarantine a culprit and release parts, if there are any.

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
        unix_time = time.time()
        settle = crash_evidence.compute_settle_seconds(
            leader_client.compute_interval(entry_host_count)
        )
        with self.lock:
            self.evidence.expire(now)
            self.update_suspects(quarantined, now)
            latest = now - settle
            culprit = self.evidence.find_culprit(
                quarantined,
                latest,
                {p for p, t in self.suspected_since.items() if t <= latest},
            )
        command = None
        ended = [part for part, end in quarantined.items() if end < unix_time]
        if culprit is not None:
            LOG.warning('event=part_quarantined part={}', culprit)
            command = commands.QuarantinePart(
                culprit, unix_time + QUARANTINE_SECONDS
            )
        elif ended:
            LOG.info('event=parts_released parts={}', ended)
            command = commands.ReleaseParts(tuple(ended))
        if command is not None:
            self.pending = self.propose(
                commands.FAMILY.encode(command), now + COMMIT_TIMEOUT_SECONDS
            )
