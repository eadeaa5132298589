"""Tests of the state machine of the job groups."""

import pytest

from rhubarbreach import codes
from rhubarbreach.state import jobcommands
from rhubarbreach.state import jobqueries
from rhubarbreach.state import jobs
from rhubarbreach.state import logicaltime

State = jobcommands.ItemState
End = jobcommands.ItemEnd
RETENTION_MS = 60_000


def make_begin(job_id='job-1', account_id='a', count=3, **fields):
    """Return the command that opens a job."""
    values = {
        'digest': b'd',
        'target': 'm',
        'idempotent': True,
        'weight': 1.0,
        'max_attempts': 3,
        'retry_delay': 0,
        'retention': RETENTION_MS,
    }
    values.update(fields)
    return jobcommands.BeginJob(
        job_id=job_id,
        account_id=account_id,
        client_id=job_id,
        method='POST',
        path='/v1/chat/completions',
        item_count=count,
        created_at=0.0,
        **values,
    )


class Group:
    """State machine that is used through its encoded interface."""

    def __init__(self):
        self.machine = jobs.JobsMachine()
        self.index = 0

    def propose(self, command):
        """Apply a command and return the decoded reply."""
        self.index += 1
        data = jobcommands.COMMANDS.encode(command)
        reply = self.machine.apply(self.index, data)
        return jobcommands.REPLIES.decode(reply)

    def query(self, query):
        """Return the decoded reply to a query."""
        data = jobqueries.QUERIES.encode(query)
        return jobcommands.REPLIES.decode(self.machine.query(data))

    def submit(self, **fields):
        """Upload a whole job and return the last reply."""
        cost = fields.pop('cost', 10)
        begin = make_begin(**fields)
        self.propose(begin)
        custom_ids = tuple(f'c{number}' for number in range(begin.item_count))
        bodies = tuple(custom_id.encode() * 9 for custom_id in custom_ids)
        costs = (cost,) * len(custom_ids)
        self.propose(
            jobcommands.AddItems(
                begin.job_id, begin.digest, 0, custom_ids, bodies, costs
            )
        )
        return self.propose(jobcommands.SealJob(begin.job_id, begin.digest))

    def claim(self, host='h1', sequence=1, limit=10, excluded=()):
        """Claim items for ten seconds."""
        return self.propose(
            jobcommands.ClaimItems(
                host, sequence, limit, 1 << 20, 10_000, excluded
            )
        ).claims

    def report(self, epoch, item, end=End.DONE, result=b'\x95\x00\xa0\x00'):
        """Report one item; return whether the result was accepted."""
        item_result = jobcommands.ItemResult(epoch, item, end, result)
        return self.propose(jobcommands.ReportResults((item_result,))).taken[0]

    def pass_time(self, milliseconds):
        """Advance logical time by ticks of 500 ms."""
        for _ in range(0, milliseconds, 500):
            self.propose(logicaltime.Tick(self.machine.time, 500))

    def get_status(self, job_id='job-1', account_id='a'):
        """Return the status of a job."""
        return self.query(jobqueries.GetJob(job_id, account_id)).status

    def reload(self):
        """Replace the machine by one restored from its snapshot.

        The snapshot of the restored machine must be the same.
        """
        data = self.machine.snapshot()
        self.machine = jobs.JobsMachine()
        self.machine.restore(data)
        assert self.machine.snapshot() == data


@pytest.fixture
def group():
    """Return a group without jobs."""
    return Group()


def test_resend_returns_the_same_job(group):
    """A resent upload must not create a second job."""
    first = group.submit()
    assert first.status.state == jobcommands.JobState.RUNNING
    assert group.submit() == first
    reply = group.propose(make_begin(digest=b'other'))
    assert reply.refusal.code == codes.ResultCode.JOB_CONFLICT


def test_incomplete_upload_is_not_accepted(group):
    """A job must not run before all items are uploaded, and times out."""
    group.propose(make_begin())
    chunk = jobcommands.AddItems('job-1', b'd', 0, ('x',), (b'1',), (1,))
    assert group.propose(chunk).status.added == 1
    assert group.propose(chunk).status.added == 1
    gap = jobcommands.AddItems('job-1', b'd', 2, ('z',), (b'3',), (1,))
    assert group.propose(gap).status.added == 1
    reply = group.propose(jobcommands.SealJob('job-1', b'd'))
    assert reply.status.state == jobcommands.JobState.UPLOADING
    assert group.claim() == ()
    group.pass_time(jobs.UPLOAD_TIMEOUT_MS + 1000)
    assert group.get_status() is None


def test_first_result_wins_and_old_epoch_is_dropped(group):
    """A late report under an expired claim must not replace a result."""
    group.submit(count=1)
    old = group.claim()[0].epoch
    group.pass_time(12_000)
    new = group.claim(host='h2')[0].epoch
    assert not group.report(old, 0)
    assert group.report(new, 0)
    assert not group.report(new, 0, End.FAILED)
    assert not group.report(old, 0)
    status = group.get_status()
    assert (status.done, status.state) == (1, 'completed')


def test_repeated_claim_gets_the_first_response(group):
    """A claim whose reply was lost must not keep its items unprocessed."""
    group.submit(count=5)
    first = group.claim(limit=2)
    assert group.claim(limit=2) == first
    assert group.claim(sequence=2)[0].items == (2, 3, 4)
    assert group.claim(sequence=1) == ()


def test_failed_items_do_not_block_the_job(group):
    """An item that always fails must end while the others complete."""
    group.submit(count=2)
    for sequence in range(1, 4):
        claimed = group.claim(sequence=sequence)[0]
        assert group.report(claimed.epoch, 0, End.RETRY)
        if 1 in claimed.items:
            assert group.report(claimed.epoch, 1)
    status = group.get_status()
    assert (status.done, status.failed) == (1, 1)
    assert status.state == 'completed'


def test_failed_item_is_retried_after_a_delay(group):
    """An outage of seconds must not use up all attempts of an item."""
    group.submit(count=2, retry_delay=1000)
    epoch = group.claim(limit=1)[0].epoch
    assert group.report(epoch, 0, End.RETRY)
    assert group.claim(sequence=2)[0].items == (1,)
    group.pass_time(1000)
    group.reload()
    epoch = group.claim(sequence=3)[0].epoch
    assert group.report(epoch, 0, End.RETRY)
    group.pass_time(4500)
    assert group.claim(sequence=4) == ()
    group.pass_time(500)
    assert group.report(group.claim(sequence=5)[0].epoch, 0)


def test_released_item_counts_no_attempt(group):
    """Preemption of an item must not use up its attempts."""
    group.submit(count=1)
    for sequence in range(1, 20):
        epoch = group.claim(sequence=sequence)[0].epoch
        leased = jobcommands.LeasedItems(epoch, (0,))
        group.propose(jobcommands.ReleaseItems((leased,)))
    assert group.get_status().failed == 0
    assert len(group.claim(sequence=20)) == 1


def test_cancel_drops_claims_and_late_results(group):
    """Items of a cancelled job must not be claimed or change state."""
    group.submit(count=3)
    epoch = group.claim(limit=2)[0].epoch
    assert group.report(epoch, 0)
    reply = group.propose(jobcommands.CancelJob('job-1', 'a'))
    assert reply.holders == ('h1',)
    assert not group.report(epoch, 1)
    assert group.claim(sequence=2) == ()
    renewed = group.propose(jobcommands.RenewClaims('h1', (epoch,), 10_000))
    assert renewed.lost == (epoch,)
    status = group.get_status()
    assert (status.done, status.cancelled) == (1, 2)
    other = group.propose(jobcommands.CancelJob('job-1', 'b'))
    assert other.refusal.code == codes.ResultCode.NOT_FOUND


def test_started_items_never_run_again(group):
    """A started, non-idempotent item of a lost host must not run again."""
    group.submit(count=2, idempotent=False)
    epoch = group.claim()[0].epoch
    leased = jobcommands.LeasedItems(epoch, (0,))
    reply = group.propose(jobcommands.StartItems((leased,)))
    assert reply.claims == (leased,)
    group.pass_time(12_000)
    assert group.propose(jobcommands.StartItems((leased,))).claims == ()
    assert group.claim(host='h2')[0].items == (1,)
    assert group.get_status().unknown == 1


def test_failed_attempt_of_a_started_item_is_final(group):
    """A started item that is not idempotent must not run again."""
    group.submit(count=1, idempotent=False)
    epoch = group.claim()[0].epoch
    leased = jobcommands.LeasedItems(epoch, (0,))
    group.propose(jobcommands.StartItems((leased,)))
    assert group.report(epoch, 0, End.RETRY)
    assert group.claim(sequence=2) == ()
    assert group.get_status().unknown == 1


def test_restored_replica_keeps_the_shares(group):
    """Shares below the virtual time must not change through a snapshot."""
    group.submit(count=2)
    group.claim(limit=1)
    group.claim(sequence=2, limit=1)
    group.pass_time(12_000)
    group.reload()


def test_leader_change_does_not_shorten_a_claim(group):
    """A tick of a paused or earlier leader must not end a claim early."""
    group.submit(count=1)
    epoch = group.claim()[0].epoch
    group.propose(logicaltime.Tick(0, 3_600_000))
    group.propose(logicaltime.Tick(0, 500))
    assert group.machine.time == logicaltime.MAX_STEP_MS
    assert group.report(epoch, 0)


def test_renewed_claim_outlives_its_first_deadline(group):
    """A live host must keep its items beyond the first claim duration."""
    group.submit(count=1)
    epoch = group.claim()[0].epoch
    for _ in range(5):
        group.pass_time(6000)
        reply = group.propose(jobcommands.RenewClaims('h1', (epoch,), 10_000))
        assert reply.lost == ()
    assert group.report(epoch, 0)


def test_accounts_are_claimed_from_fairly(group):
    """More or costlier items must not give an account a larger share."""
    group.submit(job_id='big', account_id='a', count=600)
    group.submit(job_id='small', account_id='b', count=600)
    group.submit(job_id='dear', account_id='c', count=600, cost=40)
    taken = {'a': 0, 'b': 0, 'c': 0}
    for sequence in range(1, 10):
        for claimed in group.claim(sequence=sequence, limit=64):
            taken[claimed.account_id] += len(claimed.items)
    assert taken == {'a': 256, 'b': 256, 'c': 64}
    assert group.claim(sequence=10, excluded=('m',)) == ()


def test_lost_hosts_do_not_fail_items_early(group):
    """An item whose hosts are lost a few times must still complete."""
    group.submit(count=1)
    for sequence in range(1, 6):
        assert group.claim(sequence=sequence)
        group.pass_time(12_000)
    assert group.report(group.claim(sequence=6)[0].epoch, 0)


def test_snapshot_of_a_running_job_keeps_its_state(group):
    """A restored replica must continue exactly like the original."""
    group.submit(count=40)
    claimed = group.claim(limit=20)[0]
    assert group.report(claimed.epoch, 3)
    assert group.report(claimed.epoch, 4, End.RETRY)
    group.reload()
    assert group.claim(limit=20)[0].items == tuple(
        index for index in range(20) if index not in (3, 4)
    )
    assert group.report(claimed.epoch, 5)
    later = group.claim(host='h2', limit=100)[0].items
    assert sorted(later) == [4, *range(20, 40)]


def test_results_are_paged_and_kept_for_the_retention(group):
    """Results must be readable in bounded pages until the retention ends."""
    group.submit(count=30)
    claimed = group.claim(limit=30)[0]
    for index in claimed.items:
        end = End.FAILED if index % 10 == 0 else End.DONE
        group.report(claimed.epoch, index, end, b'r' * 100)
    rows = []
    first = 0
    while first >= 0:
        query = jobqueries.GetResults('job-1', 'a', first, 7, 500, False)
        page = group.query(query)
        assert len(page.rows) <= 5
        rows.extend(page.rows)
        first = page.following
    assert [row.custom_id for row in rows] == [f'c{n}' for n in range(30)]
    query = jobqueries.GetResults('job-1', 'a', 0, 99, 1 << 20, True)
    assert [row.item for row in group.query(query).rows] == [0, 10, 20]
    assert group.machine.jobs['job-1'].bodies.get_bytes() == 0
    group.pass_time(RETENTION_MS + 1000)
    assert group.get_status() is None
    assert group.machine.accounts == {}
