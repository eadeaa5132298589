"""State machine of a job group.

Times are logical, in milliseconds; see `state.logicaltime`.
"""

import threading

from rhubarbreach.state import jobcommands
from rhubarbreach.state import jobimage
from rhubarbreach.state import jobitems
from rhubarbreach.state import jobqueries
from rhubarbreach.state import jobshares
from rhubarbreach.state import jobuploads
from rhubarbreach.state import logicaltime

__all__ = ['JobsMachine', 'UPLOAD_TIMEOUT']

State = jobcommands.ItemState
JobState = jobcommands.JobState
End = jobcommands.ItemEnd

# Milliseconds after which an upload without new items is given up.
UPLOAD_TIMEOUT = 120_000
# Milliseconds for which the last claim of a host is remembered.
CLAIM_MEMORY = 120_000


class JobsMachine:
    """Jobs of one group with their items, claims and results."""

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
        """Return the whole state as bytes."""
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
        """Add a job to the tables."""
        job_id = job.begin.job_id
        self.jobs[job_id] = job
        self.accounts.setdefault(job.begin.account_id, {})[job_id] = True
        self.refresh(job)

    def delete(self, job):
        """Remove a job from the tables."""
        job_id = job.begin.job_id
        account_id = job.begin.account_id
        self.shares.remove(job)
        del self.jobs[job_id]
        owned = self.accounts[account_id]
        del owned[job_id]
        if not owned:
            del self.accounts[account_id]

    def refresh(self, job):
        """Keep a job claimable as long as it has pending items."""
        if job.has_pending():
            self.shares.add(job)
        else:
            self.shares.remove(job)
        if job.state == JobState.RUNNING and job.is_finished():
            job.state = JobState.COMPLETED
            job.changed_at = self.time

    # Claims.

    def claim(self, command):
        """Give pending items to a host."""
        last = self.last_claims.get(command.host_id)
        if last is not None and command.sequence <= last[0]:
            epochs = last[1] if command.sequence == last[0] else ()
            return self.reply_claim(epochs)
        epochs = self.give_claims(command)
        self.last_claims[command.host_id] = (
            command.sequence,
            epochs,
            self.time,
        )
        return self.reply_claim(epochs)

    def give_claims(self, command):
        """Make the claims of a command and return their epochs."""
        excluded = frozenset(command.excluded)
        limit = command.limit
        size = command.max_bytes
        chosen = {}
        while limit > 0 and size > 0:
            job = self.shares.choose(excluded)
            if job is None:
                break
            first = not chosen
            if not first and job.bodies.get_size(job.peek()) > size:
                break
            taken = job.take(min(limit, jobshares.SLICE_ITEMS), size)
            limit -= len(taken)
            size -= sum(job.bodies.get_size(index) for index in taken)
            self.shares.charge(job, job.get_cost(taken))
            self.refresh(job)
            chosen.setdefault(job.begin.job_id, []).extend(taken)
        expires_at = self.time + command.duration + logicaltime.MAX_STEP
        return tuple(
            self.make_claim(job_id, command.host_id, expires_at, items)
            for job_id, items in chosen.items()
        )

    def make_claim(self, job_id, host_id, expires_at, items):
        """Put items under a new claim and return its epoch."""
        epoch = self.next_epoch
        self.next_epoch += 1
        job = self.jobs[job_id]
        for index in items:
            job.lease(index, epoch)
        self.claims[epoch] = jobitems.Claim(
            epoch, job_id, host_id, expires_at, items
        )
        return epoch

    def reply_claim(self, epochs):
        """Return the claims of some epochs that are still held."""
        claims = []
        for epoch in epochs:
            claim = self.claims.get(epoch)
            if claim is not None:
                claims.append(self.describe_claim(claim))
        return jobcommands.ClaimReply(tuple(claims), bool(self.shares.ready))

    def describe_claim(self, claim):
        """Return the items of a claim with their bodies."""
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
        """Extend the claims that the host still holds."""
        lost = []
        expires_at = self.time + command.duration + logicaltime.MAX_STEP
        for epoch in command.epochs:
            claim = self.claims.get(epoch)
            if claim is None or claim.host_id != command.host_id:
                lost.append(epoch)
            else:
                claim.expires_at = max(claim.expires_at, expires_at)
        return jobcommands.RenewReply(tuple(lost))

    def start(self, command):
        """Mark items as started if their claims are held."""
        started = []
        for leased in command.claims:
            job = self.find_claimed(leased.epoch)
            if job is None:
                continue
            items = []
            for index in leased.items:
                if job.is_held(index, leased.epoch):
                    job.move(index, State.STARTED)
                    items.append(index)
            started.append(jobcommands.LeasedItems(leased.epoch, tuple(items)))
        return jobcommands.StartReply(tuple(started))

    def find_claimed(self, epoch):
        """Return the job of a claim that is held."""
        claim = self.claims.get(epoch)
        return None if claim is None else self.jobs[claim.job_id]

    def settle(self, epoch):
        """Note that one item of a claim is no longer held."""
        claim = self.claims[epoch]
        claim.open -= 1
        if not claim.open:
            del self.claims[epoch]

    # Results.

    def report(self, command):
        """Take the results of items whose claims are held."""
        taken = []
        touched = {}
        for result in command.results:
            job = self.find_claimed(result.epoch)
            held = job is not None and job.is_held(result.item, result.epoch)
            taken.append(held)
            if held:
                self.take_result(job, result)
                self.settle(result.epoch)
                touched[job.sequence] = job
        for job in touched.values():
            self.refresh(job)
        return jobcommands.ReportReply(tuple(taken))

    def take_result(self, job, result):
        """End an item or one attempt of it."""
        match result.end:
            case End.DONE:
                job.finish(result.item, State.DONE, result.result)
            case End.FAILED:
                job.finish(result.item, State.FAILED, result.result)
            case End.UNKNOWN:
                job.finish(result.item, State.UNKNOWN, result.result)
            case End.RETRY:
                job.retry(result.item, result.result, self.time)

    def release(self, command):
        """Make items pending again without counting an attempt."""
        for leased in command.claims:
            job = self.find_claimed(leased.epoch)
            if job is None:
                continue
            held = [
                index
                for index in leased.items
                if job.is_held(index, leased.epoch)
            ]
            for index in held:
                job.give_back(index)
                self.settle(leased.epoch)
            self.shares.charge(job, -job.get_cost(held))
            self.refresh(job)
        return jobcommands.Applied()

    def cancel(self, command):
        """Cancel a job; a second cancel gets the same reply."""
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
        """Remove the claims of a job and return the hosts that held them."""
        holders = {}
        for epoch, claim in list(self.claims.items()):
            if claim.job_id == job.begin.job_id:
                holders[claim.host_id] = True
                del self.claims[epoch]
        return tuple(holders)

    # Time.

    def tick(self, command):
        """Advance time, end expired claims and delete old jobs."""
        self.time = logicaltime.advance(self.time, command)
        for epoch, claim in list(self.claims.items()):
            if claim.expires_at <= self.time:
                self.expire(epoch, claim)
        for job in list(self.jobs.values()):
            if self.is_outdated(job):
                self.delete(job)
            elif job.wake(self.time):
                self.refresh(job)
        for host_id, last in list(self.last_claims.items()):
            if last[2] + CLAIM_MEMORY <= self.time:
                del self.last_claims[host_id]
        self.shares.trim()
        return jobcommands.Applied()

    def expire(self, epoch, claim):
        """End a claim whose holder did not renew it."""
        job = self.jobs[claim.job_id]
        for index in claim.items:
            if job.is_held(index, epoch):
                job.lose(index)
                if job.states[index] == State.PENDING:
                    self.shares.charge(job, -job.costs[index])
        del self.claims[epoch]
        self.refresh(job)

    def is_outdated(self, job):
        """Return whether a job has been kept long enough."""
        age = self.time - job.changed_at
        match job.state:
            case JobState.UPLOADING:
                return age >= UPLOAD_TIMEOUT
            case JobState.RUNNING:
                return False
        return age >= job.begin.retention
