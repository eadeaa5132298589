"""Typed client of the job groups."""

import hashlib
import itertools

from rhubarbreach.batch import items
from rhubarbreach import codes
from rhubarbreach.state import jobcommands
from rhubarbreach.state import jobqueries

__all__ = [
    'MAX_CHUNK_BYTES',
    'Store',
    'get_group_number',
    'make_group_id',
    'split_chunks',
]

# Estimated size of the items in one command, with their custom ids and
# framing. The whole command stays below 256 KiB.
MAX_CHUNK_BYTES = 192 * 1024
MAX_CHUNK_ITEMS = 1024
# Delay after which a client may send a refused job again.
RETRY_AFTER_SECONDS = 1.0
# Bytes of the framing of an item besides its body and custom id.
ITEM_OVERHEAD = 16


def make_group_id(number):
    """Return the id of a job group."""
    return f'jobs-{number}'


def get_group_number(job_id, job_groups):
    """Return the number of the group that holds a job.

    Parameters
    ----------
    job_id : str
        Id of the job.
    job_groups : int
        Number of job groups in the deployment.

    Returns
    -------
    int
        From 0 to `job_groups` - 1.
    """
    digest = hashlib.blake2b(job_id.encode(), digest_size=8).digest()
    return int.from_bytes(digest) % job_groups


def split_chunks(custom_ids, bodies):
    """Split items into chunks that fit into a command.

    Parameters
    ----------
    custom_ids : sequence of str
        Ids that the client chose.
    bodies : sequence of bytes
        Item bodies in the same order.

    Yields
    ------
    tuple of int
        First index and end index of a chunk.
    """
    first = 0
    size = 0
    for index, (custom_id, body) in enumerate(
        zip(custom_ids, bodies, strict=True)
    ):
        added = len(custom_id) * 4 + len(body) + ITEM_OVERHEAD
        full = (
            size + added > MAX_CHUNK_BYTES or index - first >= MAX_CHUNK_ITEMS
        )
        if full and index > first:
            yield first, index
            first = index
            size = 0
        size += added
    if first < len(bodies):
        yield first, len(bodies)


class Store:
    """Typed client that sends commands and queries to the job groups.

    Parameters
    ----------
    client : object
        `propose(group_id, command, deadline)` and `query(group_id, query,
        deadline)`, both blocking, return bytes or a `Refusal`.
    job_groups : int
        Number of job groups.
    """

    def __init__(self, client, job_groups):
        self.client = client
        self.job_groups = job_groups

    def get_group(self, job_id):
        """Return the group number of a job."""
        return get_group_number(job_id, self.job_groups)

    def propose(self, group, command, deadline):
        """Commit a command in a group.

        Parameters
        ----------
        group : int
            Number of the group.
        command : object
            One of `jobcommands.COMMANDS`.
        deadline : float
            Monotonic deadline.

        Returns
        -------
        object or Refusal
            One of `jobcommands.REPLIES`. If its `refusal` is set, that is
            returned instead.
        """
        data = jobcommands.COMMANDS.encode(command)
        answer = self.client.propose(make_group_id(group), data, deadline)
        return decode_reply(answer)

    def query(self, group, query, deadline):
        """Query a group; parameters and result are those of `propose`."""
        data = jobqueries.QUERIES.encode(query)
        answer = self.client.query(make_group_id(group), data, deadline)
        return decode_reply(answer)

    def submit(self, begin, custom_ids, bodies, deadline):
        """Store a whole job. The job is accepted when a status is returned.

        Parameters
        ----------
        begin : BeginJob
            Description of the job.
        custom_ids, bodies : sequence
            Custom id and body of each item.
        deadline : float
            Monotonic deadline.

        Returns
        -------
        JobStatus or Refusal
            Status of the job, which an earlier equal upload may have stored.
        """
        group = self.get_group(begin.job_id)
        reply = self.propose(group, begin, deadline)
        if isinstance(reply, codes.Refusal):
            return make_not_run_refusal(reply)
        if reply.status.state != jobcommands.JobState.UPLOADING:
            return reply.status
        refusal = self.add_items(
            begin, custom_ids, bodies, reply.status.added, deadline
        )
        if refusal is not None:
            return make_not_run_refusal(refusal)
        seal = jobcommands.SealJob(begin.job_id, begin.digest)
        reply = self.propose(group, seal, deadline)
        if isinstance(reply, codes.Refusal):
            return make_unknown_refusal(reply)
        if reply.status.state == jobcommands.JobState.UPLOADING:
            reason = 'the upload was interrupted'
            return codes.Refusal(codes.ResultCode.UNAVAILABLE, reason)
        return reply.status

    def add_items(self, begin, custom_ids, bodies, added, deadline):
        """Add the items from index `added` on; return None or a refusal."""
        group = self.get_group(begin.job_id)
        for first, end in split_chunks(custom_ids, bodies):
            if end <= added:
                continue
            chunk = jobcommands.AddItems(
                begin.job_id,
                begin.digest,
                first,
                tuple(custom_ids[first:end]),
                tuple(bodies[first:end]),
                tuple(
                    items.estimate_body_cost(body)
                    for body in bodies[first:end]
                ),
            )
            reply = self.propose(group, chunk, deadline)
            if isinstance(reply, codes.Refusal):
                return reply
        return None

    def get_job(self, job_id, account_id, deadline):
        """Return the `JobStatus` of a job, or a refusal."""
        query = jobqueries.GetJob(job_id, account_id)
        reply = self.query(self.get_group(job_id), query, deadline)
        return reply if isinstance(reply, codes.Refusal) else reply.status

    def list_jobs(self, account_id, after, limit, deadline):
        """Return jobs of an account from all groups, sorted by id."""
        statuses = []
        query = jobqueries.ListJobs(account_id, after, limit)
        for group in range(self.job_groups):
            reply = self.query(group, query, deadline)
            if isinstance(reply, codes.Refusal):
                return reply
            statuses.extend(reply.jobs)
        statuses.sort(key=lambda status: status.job_id)
        return tuple(statuses[:limit])

    def cancel(self, job_id, account_id, deadline):
        """Cancel a job; return the `CancelReply`, or a refusal."""
        command = jobcommands.CancelJob(job_id, account_id)
        return self.propose(self.get_group(job_id), command, deadline)

    def read_pages(self, job_id, account_id, failed, page, get_deadline):
        """Read the items of a job that have ended, page by page.

        Parameters
        ----------
        job_id, account_id : str
            Job and its owner.
        failed : bool
            Whether to read only items without a successful result.
        page : tuple of int
            Maximum items and bytes of a page.
        get_deadline : callable
            Returns the monotonic deadline of the next page.

        Yields
        ------
        ResultsReply or Refusal
            A refusal ends the pages.
        """
        group = self.get_group(job_id)
        following = 0
        for _ in itertools.count():
            query = jobqueries.GetResults(
                job_id, account_id, following, page[0], page[1], failed
            )
            reply = self.query(group, query, get_deadline())
            yield reply
            if isinstance(reply, codes.Refusal) or reply.following < 0:
                return
            following = reply.following


def make_not_run_refusal(refusal):
    """Return the refusal of an upload that failed before it was sealed.

    The items of an unsealed upload are never claimed. The refusal does not
    concern a job that was stored earlier under the same id.
    """
    if refusal.code in (
        codes.ResultCode.JOB_CONFLICT,
        codes.ResultCode.DISK_FULL,
    ):
        return refusal
    reason = f'the upload was not accepted: {refusal.reason}'
    return codes.Refusal(
        refusal.code, reason, codes.Ran.NO, RETRY_AFTER_SECONDS
    )


def make_unknown_refusal(refusal):
    """Return the refusal of an upload whose seal may be committed."""
    if refusal.ran == codes.Ran.NO:
        return make_not_run_refusal(refusal)
    reason = 'it is unknown whether the job was accepted; send it again'
    return codes.Refusal(
        refusal.code, reason, codes.Ran.UNKNOWN, RETRY_AFTER_SECONDS
    )


def decode_reply(answer):
    """Return the decoded reply, or its refusal if it has one."""
    if isinstance(answer, codes.Refusal):
        return answer
    reply = jobcommands.REPLIES.decode(answer)
    refusal = getattr(reply, 'refusal', None)
    return reply if refusal is None else refusal
