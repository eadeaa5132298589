"""Queries of a job group, which are answered without a log entry."""

import dataclasses

from rhubarbreach import codes
from rhubarbreach.protocol import tagged
from rhubarbreach.state import jobcommands

__all__ = [
    'GetJob',
    'GetResults',
    'ListJobs',
    'QUERIES',
    'answer_query',
    'make_not_found',
]

State = jobcommands.ItemState
frozen = dataclasses.dataclass(frozen=True, slots=True)


@frozen
class GetJob:
    """Query for the status of a job of an account."""

    job_id: str
    account_id: str


@frozen
class ListJobs:
    """Query for the jobs of an account with ids above `after`, by id."""

    account_id: str
    after: str
    limit: int


@frozen
class GetResults:
    """Query for a page of final items, bounded in number and bytes.

    `first` is the index to start from. `failed` selects the items that did
    not end as done.
    """

    job_id: str
    account_id: str
    first: int
    limit: int
    max_bytes: int
    failed: bool


QUERIES = tagged.TaggedUnion(GetJob, ListJobs, GetResults)


def make_not_found(job_id):
    """Return the refusal of a job that the account does not have."""
    reason = f'job {job_id} does not exist'
    return codes.Refusal(codes.ResultCode.NOT_FOUND, reason)


def answer_query(machine, query):
    """Return the reply to a query.

    Parameters
    ----------
    machine : JobsMachine
        State machine that holds the jobs.
    query : object
        One of `QUERIES`.

    Returns
    -------
    object
        One of `jobcommands.REPLIES`.
    """
    match query:
        case GetJob():
            job = machine.find(query.job_id, query.account_id)
            if job is None:
                return jobcommands.JobReply(None, make_not_found(query.job_id))
            return jobcommands.JobReply(job.make_status())
        case ListJobs():
            return list_jobs(machine, query)
        case GetResults():
            return get_results(machine, query)
    raise TypeError(f'not a query: {query!r}')


def list_jobs(machine, query):
    """Return a page of the jobs of an account."""
    owned_jobs = machine.accounts.get(query.account_id, {})
    job_ids = sorted(job_id for job_id in owned_jobs if job_id > query.after)
    return jobcommands.ListReply(
        tuple(
            machine.jobs[job_id].make_status()
            for job_id in job_ids[: query.limit]
        )
    )


def get_results(machine, query):
    """Return a page of final items."""
    job = machine.find(query.job_id, query.account_id)
    if job is None:
        refusal = make_not_found(query.job_id)
        return jobcommands.ResultsReply((), -1, refusal)
    min_state = State.FAILED if query.failed else State.DONE
    rows = []
    size = 0
    index = query.first
    while index < job.added and len(rows) < query.limit:
        if job.states[index] >= min_state:
            size += job.results.get_size(index)
            if rows and size > query.max_bytes:
                break
            rows.append(make_row(job, index))
        index += 1
    next_index = index if index < job.added else -1
    return jobcommands.ResultsReply(tuple(rows), next_index)


def make_row(job, index):
    """Return the row of a final item."""
    return jobcommands.ResultRow(
        index,
        job.custom_ids.get(index).decode(),
        State(job.states[index]),
        job.attempts[index],
        job.results.get(index) or b'',
    )
