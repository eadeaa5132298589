"""Task on the configuration leader that updates the share set.

The share set lists the entry hosts that hold shares of the account rates.
"""

import threading
import uuid

import logbook

from rhubarbreach import clock
from rhubarbreach.distribution import effect
from rhubarbreach.distribution import store
from rhubarbreach.limits import shareset
from rhubarbreach.state import model

__all__ = ['ShareSetTask']

LOG = logbook.Logger('shareset')

PERIOD_SECONDS = 0.5
PROPOSE_TIMEOUT_SECONDS = 5.0


class ShareSetTask:
    """Task that proposes a new share set when entry hosts join or leave.

    Parameters
    ----------
    group : consensus.group.Group
        Replica of the configuration group.
    view : distribution.view.ConfigView
        Configuration in effect on this host.
    membership : membership.hosts.Membership
        Live hosts.
    tracker : distribution.effect.RevisionTracker
        Configuration validity that hosts were granted.
    recorder : observe.timeline.Recorder
        Timeline that records each proposal.
    """

    def __init__(self, group, view, membership, tracker, recorder):
        self.group = group
        self.view = view
        self.membership = membership
        self.tracker = tracker
        self.recorder = recorder
        self.states = {}
        self.epoch = -1
        self.term = -1
        self.changed_at = 0.0
        self.closed = threading.Event()
        self.thread = threading.Thread(
            target=self.run, name='share-set', daemon=True
        )

    def start(self):
        """Start the task."""
        self.thread.start()

    def run(self):
        """Run a step in each period until the task is closed."""
        while not self.closed.wait(PERIOD_SECONDS):
            try:
                self.step(clock.monotonic())
            except Exception:
                LOG.exception('event=share_set_failed')

    def step(self, now):
        """Propose a change if one is due and this host is the leader."""
        if not self.group.is_leader:
            self.term = -1
            return
        self.update_states(now)
        config = self.view.snapshot
        key_grace = effect.get_longest_key_grace(config)
        pending = self.tracker.find_pending(config.revision, key_grace, now)
        change = shareset.propose_share_set(
            config, self.states.values(), self.changed_at, not pending, now
        )
        if change is None:
            return
        self.recorder.record(
            'share_set_proposed',
            'entry hosts changed',
            detail=f'hosts={",".join(change.hosts)}',
        )
        command = model.encode_request(uuid.uuid4().hex, None, change)
        self.group.propose(command, now + PROPOSE_TIMEOUT_SECONDS).result()

    def update_states(self, now):
        """Update which entry hosts are alive and how long they serve keys."""
        config = self.view.snapshot
        if self.term != self.group.term or self.epoch != config.share_epoch:
            self.term = self.group.term
            self.epoch = config.share_epoch
            self.changed_at = now
        alive = {
            host.host_id
            for host in self.membership.alive()
            if 'entry' in host.roles and not host.draining
        }
        key_grace = effect.get_longest_key_grace(config)
        former_grants_until = self.changed_at + store.FORMER_GRANT_SECONDS
        for host_id in {*alive, *config.share_hosts, *self.states}:
            previous = self.states.get(host_id)
            is_alive = host_id in alive
            since = now
            if previous is not None and previous.alive == is_alive:
                since = previous.since
            # The previous leader may have granted a host validity up to the
            # start of this term, which this leader does not know.
            serves_until = max(
                self.tracker.get_granted_until(host_id, now),
                former_grants_until,
            )
            self.states[host_id] = shareset.HostState(
                host_id, is_alive, since, serves_until + key_grace
            )

    def close(self):
        """Stop the task."""
        self.closed.set()
