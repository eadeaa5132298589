"""Stateful test of a job group: each item gets exactly one final result."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from rhubarbreach.state import jobcommands
from rhubarbreach.state.tests import test_jobs

State = jobcommands.ItemState
End = jobcommands.ItemEnd
HOSTS = strategies.sampled_from(('h1', 'h2', 'h3'))
JOBS = strategies.sampled_from(('job-1', 'job-2', 'job-3'))
# Longer than a test run, so that no job is deleted: the id of a deleted job
# could name a new one.
JOB_RETENTION_MS = 86_400_000
PICK = strategies.integers(0, 1 << 16)


class History(stateful.RuleBasedStateMachine):
    """Random interleavings of claims, crashes, reports and cancellations.

    Job 3 is not idempotent. The model records the items that each host
    assumes to hold, even after the claims have expired, so that late and
    repeated reports and releases occur.
    """

    def __init__(self):
        super().__init__()
        self.group = test_jobs.Group()
        self.accepted = {}
        self.cancelled = set()
        self.held = []
        self.sequence = 0
        self.runs = {}
        self.results = {}
        self.number = 0

    @stateful.rule(job_id=JOBS, count=strategies.integers(1, 40))
    def submit(self, job_id, count):
        """Submit a job; resent with the same size it is the same job."""
        reply = self.group.submit(
            job_id=job_id,
            account_id=f'account-{job_id}',
            count=count,
            digest=b'%d' % count,
            idempotent=job_id != 'job-3',
            retention=JOB_RETENTION_MS,
            retry_delay=500,
        )
        if job_id in self.accepted and self.accepted[job_id] != count:
            assert reply.status is None
        else:
            self.accepted[job_id] = count
            assert reply.status.total == count

    @stateful.rule(host=HOSTS, limit=strategies.integers(1, 30))
    def claim(self, host, limit):
        """Claim and dispatch items."""
        self.sequence += 1
        for claimed in self.group.claim(host, self.sequence, limit):
            assert claimed.job_id not in self.cancelled
            for item in self.choose_started(claimed):
                self.dispatch(host, claimed, item)

    def choose_started(self, claimed):
        """Return the items that may be dispatched."""
        if claimed.idempotent:
            return claimed.items
        leased = jobcommands.LeasedItems(claimed.epoch, claimed.items[:3])
        reply = self.group.propose(jobcommands.StartItems((leased,)))
        return reply.claims[0].items

    def dispatch(self, host, claimed, item):
        """Record that an item runs."""
        key = (claimed.job_id, item)
        assert key not in self.results
        self.runs.setdefault(key, []).append(claimed.epoch)
        if not claimed.idempotent:
            assert len(self.runs[key]) == 1
        self.held.append((host, key, claimed.epoch))

    @stateful.precondition(lambda self: self.held)
    @stateful.rule(
        pick=PICK, end=strategies.sampled_from(End), keep=strategies.booleans()
    )
    def report(self, pick, end, keep):
        """Report an item, possibly late; if kept, possibly again."""
        index = pick % len(self.held)
        _, key, epoch = self.held[index]
        if not keep:
            self.held.pop(index)
        self.number += 1
        result = b'%d' % self.number
        if not self.group.report(epoch, key[1], end, result):
            return
        assert key[0] not in self.cancelled
        assert key not in self.results
        assert epoch == self.runs[key][-1]
        state = self.get_state(key)
        if state >= State.DONE:
            self.results[key] = (state, result)

    @stateful.precondition(lambda self: self.held)
    @stateful.rule(pick=PICK)
    def release(self, pick):
        """Release an item that may run again."""
        _, key, epoch = self.held.pop(pick % len(self.held))
        if key[0] != 'job-3':
            leased = jobcommands.LeasedItems(epoch, (key[1],))
            self.group.propose(jobcommands.ReleaseItems((leased,)))

    @stateful.rule(host=HOSTS)
    def crash(self, host):
        """Crash a host with its items in flight."""
        self.held = [held for held in self.held if held[0] != host]

    @stateful.rule(host=HOSTS)
    def renew(self, host):
        """Renew the claims that a host assumes to hold."""
        epochs = tuple({held[2] for held in self.held if held[0] == host})
        self.group.propose(jobcommands.RenewClaims(host, epochs, 10_000))

    @stateful.rule(job_id=JOBS)
    def cancel(self, job_id):
        """Cancel a job."""
        command = jobcommands.CancelJob(job_id, f'account-{job_id}')
        reply = self.group.propose(command)
        if reply.status is not None and reply.status.state == 'cancelled':
            self.cancelled.add(job_id)

    @stateful.rule(seconds=strategies.integers(1, 12))
    def pass_time(self, seconds):
        """Advance time, so that claims may expire."""
        self.group.pass_time(seconds * 1000)

    @stateful.rule()
    def reload(self):
        """Continue from a snapshot, as a restored replica does."""
        self.group.reload()

    def get_state(self, key):
        """Return the state of an item."""
        return State(self.group.machine.jobs[key[0]].states[key[1]])

    @stateful.invariant()
    def check_results(self):
        """Check that no final result has changed."""
        for key, (state, result) in self.results.items():
            job = self.group.machine.jobs[key[0]]
            assert job.states[key[1]] == state
            assert job.results.get(key[1]) == result

    def teardown(self):
        """Finish all items on one host and check that each has a result."""
        for _ in range(30):
            self.sequence += 1
            for claimed in self.group.claim('h9', self.sequence, 200):
                assert claimed.job_id not in self.cancelled
                for item in claimed.items:
                    assert self.group.report(claimed.epoch, item)
            self.group.pass_time(1000)
        for job_id, count in self.accepted.items():
            job = self.group.machine.jobs[job_id]
            assert len(job.states) == count
            assert all(state >= State.DONE for state in job.states)
            assert job.state in ('completed', 'cancelled')


History.TestCase.settings = hypothesis.settings(
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
    print_blob=True,
    database=None,
)
test_each_item_has_one_final_result = History.TestCase
