"""State machine of a job group.

Times are logical milliseconds; see `rhubarbreach.state.logicaltime`.
"""

import threading

from rhubarbreach.state import jobcommands
from rhubarbreach.state import jobimage
from rhubarbreach.state import jobitems
from rhubarbreach.state import jobqueries
from rhubarbreach.state import jobshares
from rhubarbreach.state import jobuploads
from rhubarbreach.state import logicaltime

__all__ = ['JobsMachine', 'UPLOAD_TIMEOUT_MS']

State = jobcommands.ItemState
JobState = jobcommands.JobState
End = jobcommands.ItemEnd

# Time after which an upload that gets no new items is deleted.
UPLOAD_TIMEOUT_MS = 120_000
# Time for which the last claim of a holder is kept, so that a repeated
# request gets the same claims.
LAST_CLAIM_RETENTION_MS = 120_000


class JobsMachine:
    """State machine of the jobs of a group, their items and claims.

    `last_claims` maps a holder to the sequence number, the epochs and the
    time of its last claim.
    """

    def __init__(self):
        self.lock = threading.RLock()
        self.time = 0
        self.next_sequence = 1
        self.next_epoch = 1
        self.jobs = {}
        self.accounts = {}
        self.claims = {}
        self.last_claims = {}
        self.shares = jobshares.JobShares()

    def apply(self, index, command):
        """Apply a committed command.

        Parameters
        ----------
        index : int
            Position in the log.
        command : bytes
            One of `jobcommands.COMMANDS`, encoded.

        Returns
        -------
        bytes
            One of `jobcommands.REPLIES`, encoded.
        """
        with self.lock:
            reply = self.run(jobcommands.COMMANDS.decode(command))
        return jobcommands.REPLIES.encode(reply)

    def query(self, query):
        """Answer an encoded query with an encoded reply."""
        decoded = jobqueries.QUERIES.decode(query)
        with self.lock:
            reply = jobqueries.answer_query(self, decoded)
        return jobcommands.REPLIES.encode(reply)

    def snapshot(self):
        """Return the whole state, encoded."""
        with self.lock:
            return jobimage.encode_group(self)

    def restore(self, data):
        """Replace the whole state by that of a snapshot."""
        with self.lock:
            jobimage.decode_group(self, data)

    def run(self, command):
        """Apply a decoded command and return its reply."""
        match command:
            case jobcommands.ReportResults():
                return self.report(command)
            case jobcommands.ClaimItems():
                return self.claim(command)
            case jobcommands.StartItems():
                return self.start(command)
            case jobcommands.RenewClaims():
                return self.renew(command)
            case jobcommands.ReleaseItems():
                return self.release(command)
            case jobcommands.AddItems():
                return jobuploads.add_items(self, command)
            case jobcommands.BeginJob():
                return jobuploads.begin_job(self, command)
            case jobcommands.SealJob():
                return jobuploads.seal_job(self, command)
            case jobcommands.CancelJob():
                return self.cancel(command)
            case jobcommands.LoseClaims():
                return self.lose_claims(command)
            case logicaltime.Tick():
                return self.tick(command)
        raise TypeError(f'not a command: {command!r}')

    def find(self, job_id, account_id):
        """Return a job if it belongs to the account."""
        job = self.jobs.get(job_id)
        if job is None or job.begin.account_id != account_id:
            return None
        return job

    def insert(self, job):
        """Add a job to the tables and to the claim queue."""
        job_id = job.begin.job_id
        self.jobs[job_id] = job
        self.accounts.setdefault(job.begin.account_id, {})[job_id] = True
        self.refresh(job)

    def delete(self, job):
        """Remove a job from the tables and from the claim queue."""
        job_id = job.begin.job_id
        account_id = job.begin.account_id
        self.shares.remove(job)
        del self.jobs[job_id]
        owned_jobs = self.accounts[account_id]
        del owned_jobs[job_id]
        if not owned_jobs:
            del self.accounts[account_id]

    def refresh(self, job):
        """Update the claim queue, and complete a job that has finished."""
        if job.has_pending():
            self.shares.add(job)
        else:
            self.shares.remove(job)
        if job.state == JobState.RUNNING and job.is_finished():
            job.state = JobState.COMPLETED
            job.changed_at = self.time

    def claim(self, command):
        """Grant claims on pending items to a host.

        A repeated request gets the first claims again, as far as they are
        still held; an older request gets none.
        """
        last_claim = self.last_claims.get(command.host_id)
        if last_claim is not None and command.sequence <= last_claim[0]:
            epochs = last_claim[1] if command.sequence == last_claim[0] else ()
            return self.make_claim_reply(epochs)
        epochs = self.grant_claims(command)
        self.last_claims[command.host_id] = (
            command.sequence,
            epochs,
            self.time,
        )
        return self.make_claim_reply(epochs)

    def grant_claims(self, command):
        """Create the claims for a command and return their epochs."""
        excluded = frozenset(command.excluded)
        limit = command.limit
        bytes_left = command.max_bytes
        items_by_job = {}
        while limit > 0 and bytes_left > 0:
            job = self.shares.choose_job(excluded)
            if job is None:
                break
            is_first = not items_by_job
            if (
                not is_first
                and job.bodies.get_size(job.peek_pending()) > bytes_left
            ):
                break
            indexes = job.pop_pending(
                min(limit, jobshares.SLICE_ITEMS), bytes_left
            )
            limit -= len(indexes)
            bytes_left -= sum(job.bodies.get_size(index) for index in indexes)
            self.shares.charge(job, job.get_cost(indexes))
            self.refresh(job)
            items_by_job.setdefault(job.begin.job_id, []).extend(indexes)
        expires_at = self.time + command.duration + logicaltime.MAX_STEP_MS
        return tuple(
            self.create_claim(job_id, command.host_id, expires_at, items)
            for job_id, items in items_by_job.items()
        )

    def create_claim(self, job_id, host_id, expires_at, items):
        """Create a claim on items and return its epoch."""
        epoch = self.next_epoch
        self.next_epoch += 1
        job = self.jobs[job_id]
        for index in items:
            job.claim_item(index, epoch)
        self.claims[epoch] = jobitems.Claim(
            epoch, job_id, host_id, expires_at, items
        )
        return epoch

    def make_claim_reply(self, epochs):
        """Return the reply with those claims that are still held."""
        claims = []
        for epoch in epochs:
            claim = self.claims.get(epoch)
            if claim is not None:
                claims.append(self.describe_claim(claim))
        return jobcommands.ClaimReply(tuple(claims), bool(self.shares.ready))

    def describe_claim(self, claim):
        """Return a claim with its held items and their bodies."""
        job = self.jobs[claim.job_id]
        begin = job.begin
        items = tuple(
            index for index in claim.items if job.is_held(index, claim.epoch)
        )
        return jobcommands.Claimed(
            claim.epoch,
            begin.job_id,
            begin.account_id,
            begin.method,
            begin.path,
            begin.target,
            begin.idempotent,
            begin.weight,
            items,
            tuple(job.bodies.get(index) for index in items),
        )

    def renew(self, command):
        """Extend the claims that the holder still has."""
        lost_epochs = []
        expires_at = self.time + command.duration + logicaltime.MAX_STEP_MS
        for epoch in command.epochs:
            claim = self.claims.get(epoch)
            if claim is None or claim.host_id != command.host_id:
                lost_epochs.append(epoch)
            else:
                claim.expires_at = max(claim.expires_at, expires_at)
        return jobcommands.RenewReply(tuple(lost_epochs))

    def start(self, command):
        """Mark the items that are still held as started."""
        started = []
        for leased in command.claims:
            job = self.find_claimed_job(leased.epoch)
            if job is None:
                continue
            items = []
            for index in leased.items:
                if job.is_held(index, leased.epoch):
                    job.set_state(index, State.STARTED)
                    items.append(index)
            started.append(jobcommands.LeasedItems(leased.epoch, tuple(items)))
        return jobcommands.StartReply(tuple(started))

    def find_claimed_job(self, epoch):
        """Return the job of a claim, None if the claim has ended."""
        claim = self.claims.get(epoch)
        return None if claim is None else self.jobs[claim.job_id]

    def close_item(self, epoch):
        """Remove one item from a claim, and the claim after its last item."""
        claim = self.claims[epoch]
        claim.open -= 1
        if not claim.open:
            del self.claims[epoch]

    def report(self, command):
        """Accept the results of the items that are still held."""
        accepted = []
        changed_jobs = {}
        for result in command.results:
            job = self.find_claimed_job(result.epoch)
            held = job is not None and job.is_held(result.item, result.epoch)
            accepted.append(held)
            if held:
                self.apply_result(job, result)
                self.close_item(result.epoch)
                changed_jobs[job.sequence] = job
        for job in changed_jobs.values():
            self.refresh(job)
        return jobcommands.ReportReply(tuple(accepted))

    def apply_result(self, job, result):
        """End an item, or one attempt of it."""
        match result.end:
            case End.DONE:
                job.finish(result.item, State.DONE, result.result)
            case End.FAILED:
                job.finish(result.item, State.FAILED, result.result)
            case End.UNKNOWN:
                job.finish(result.item, State.UNKNOWN, result.result)
            case End.RETRY:
                job.end_attempt(result.item, result.result, self.time)

    def release(self, command):
        """Make items pending again without counting an attempt."""
        for leased in command.claims:
            job = self.find_claimed_job(leased.epoch)
            if job is None:
                continue
            held_items = [
                index
                for index in leased.items
                if job.is_held(index, leased.epoch)
            ]
            for index in held_items:
                job.requeue(index)
                self.close_item(leased.epoch)
            self.shares.charge(job, -job.get_cost(held_items))
            self.refresh(job)
        return jobcommands.Applied()

    def cancel(self, command):
        """Cancel a job; a job that has ended stays unchanged."""
        job = self.find(command.job_id, command.account_id)
        if job is None:
            refusal = jobqueries.make_not_found(command.job_id)
            return jobcommands.CancelReply(None, (), refusal)
        holders = ()
        if job.state in (JobState.UPLOADING, JobState.RUNNING):
            holders = self.drop_claims(job)
            job.cancel()
            job.changed_at = self.time
            self.refresh(job)
        return jobcommands.CancelReply(job.make_status(), holders)

    def drop_claims(self, job):
        """Remove the claims of a job and return their holders."""
        holders = {}
        for epoch, claim in list(self.claims.items()):
            if claim.job_id == job.begin.job_id:
                holders[claim.host_id] = True
                del self.claims[epoch]
        return tuple(holders)

    def lose_claims(self, command):
        """End the claims of earlier incarnations of a host."""
        prefix = f'{command.host_id}#'
        for epoch, claim in list(self.claims.items()):
            holder_id = claim.host_id
            if holder_id.startswith(prefix) and holder_id != command.kept:
                self.expire(epoch, claim)
        return jobcommands.Applied()

    def tick(self, command):
        """Advance time, end expired claims and delete expired jobs."""
        self.time = logicaltime.advance(self.time, command)
        for epoch, claim in list(self.claims.items()):
            if claim.expires_at <= self.time:
                self.expire(epoch, claim)
        for job in list(self.jobs.values()):
            if self.is_expired(job):
                self.delete(job)
            elif job.requeue_due(self.time):
                self.refresh(job)
        for host_id, last_claim in list(self.last_claims.items()):
            if last_claim[2] + LAST_CLAIM_RETENTION_MS <= self.time:
                del self.last_claims[host_id]
        self.shares.remove_idle_accounts()
        return jobcommands.Applied()

    def expire(self, epoch, claim):
        """End a claim whose holder did not renew it or was restarted."""
        job = self.jobs[claim.job_id]
        for index in claim.items:
            if job.is_held(index, epoch):
                job.lose_claim(index)
                if job.states[index] == State.PENDING:
                    self.shares.charge(job, -job.costs[index])
        del self.claims[epoch]
        self.refresh(job)

    def is_expired(self, job):
        """Return whether the upload timeout or the retention has passed."""
        age = self.time - job.changed_at
        match job.state:
            case JobState.UPLOADING:
                return age >= UPLOAD_TIMEOUT_MS
            case JobState.RUNNING:
                return False
        return age >= job.begin.retention
