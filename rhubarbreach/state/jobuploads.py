"""Upload of jobs: open a job, add items in chunks, and accept it."""

from rhubarbreach import codes
from rhubarbreach.state import jobcommands
from rhubarbreach.state import jobitems
from rhubarbreach.state import jobqueries

__all__ = ['add_items', 'begin_job', 'seal_job']

JobState = jobcommands.JobState


def begin_job(machine, command):
    """Open a job, or return the existing one with the same id and digest."""
    job = machine.jobs.get(command.job_id)
    if job is None:
        job = jobitems.Job(command, machine.next_sequence)
        job.changed_at = machine.time
        machine.next_sequence += 1
        machine.insert(job)
    return make_reply(job, command)


def make_reply(job, command):
    """Return the status of an upload, or the refusal."""
    if job is None:
        refusal = jobqueries.make_not_found(command.job_id)
        return jobcommands.JobReply(None, refusal)
    if job.begin.digest != command.digest:
        reason = 'another job was sent with the same id'
        return jobcommands.JobReply(
            None, codes.Refusal(codes.ResultCode.JOB_CONFLICT, reason)
        )
    return jobcommands.JobReply(job.make_status())


def accepts_upload(job, command):
    """Return whether a job is being uploaded with this digest."""
    return (
        job is not None
        and job.begin.digest == command.digest
        and job.state == JobState.UPLOADING
    )


def add_items(machine, command):
    """Add the items of a chunk that have not been added yet."""
    job = machine.jobs.get(command.job_id)
    if accepts_upload(job, command):
        added_count = job.added - command.first
        count = len(command.bodies)
        in_range = (
            added_count >= 0 and command.first + count <= job.begin.item_count
        )
        same_length = len(command.custom_ids) == len(command.costs) == count
        if in_range and same_length:
            job.add(
                command.custom_ids[added_count:],
                command.bodies[added_count:],
                command.costs[added_count:],
            )
            job.changed_at = machine.time
    return make_reply(job, command)


def seal_job(machine, command):
    """Accept a job if all of its items have been added."""
    job = machine.jobs.get(command.job_id)
    if accepts_upload(job, command) and job.added == job.begin.item_count:
        job.state = JobState.RUNNING
        job.changed_at = machine.time
        machine.refresh(job)
    return make_reply(job, command)
