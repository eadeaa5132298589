"""Replicated state: the configuration in force and the batch jobs.

The ledger is the machine of a replicated log group. What it does depends on
nothing but its commands, so that all stores hold the same.
"""

import dataclasses
import threading

import msgspec

from rhubarbreach.backlog import commands

__all__ = ['Job', 'Ledger', 'RESULT_BYTES']

# Results in one answer, by the size of their text: a job of ten items has some
# 160 KB. Answers to all entry hosts may be queued at once.
RESULT_BYTES = 256 * 1024


@dataclasses.dataclass(slots=True)
class Job:
    """A batch job.

    `open` holds the items without a result, in order, `made` the events
    of those that have made some, and `makers` the id of the order that made
    the last of them and the number of the event after which it went on.
    """

    job_id: str
    account: str
    host: str
    path_prefix: str
    submitted: float
    due: float
    retained_until: float
    max_attempts: int
    total: int
    open: dict[str, commands.Item]
    results: list[commands.ItemResult]
    ended: bool = False
    made: dict[str, list[bytes]] = dataclasses.field(default_factory=dict)
    makers: dict[str, tuple[str, int]] = dataclasses.field(
        default_factory=dict
    )

    @property
    def is_closed(self):
        """Whether nothing of the job is left to run."""
        return self.ended or not self.open

    @property
    def waiting_tokens(self):
        """Tokens of the items that have no result."""
        if self.ended:
            return 0
        return sum(item.tokens for item in self.open.values())


@dataclasses.dataclass(slots=True)
class Image:
    """Whole state of a ledger."""

    version: int
    document: bytes
    jobs: list[Job]
    retiring: list[str]


IMAGE_DECODER = msgspec.msgpack.Decoder(Image)


class Ledger:
    """Machine of the group.

    Parameters
    ----------
    notify : callable, optional
        Called without arguments after each change.
    """

    def __init__(self, notify=None):
        self.notify = notify
        self.lock = threading.Lock()
        self.version = 0
        self.document = b''
        self.jobs = {}
        self.retiring = set()

    def apply(self, index, command):
        """Carry out a command of the log; return the encoded reply."""
        command = commands.FAMILY.decode(command)
        with self.lock:
            reply = self.carry_out(command)
        if self.notify is not None:
            self.notify()
        return commands.FAMILY.encode(reply)

    def carry_out(self, command):
        """Return the reply to a command."""
        match command:
            case commands.PutCatalog(version=version, document=document):
                if version > self.version:
                    self.version, self.document = version, document
                return commands.Done()
            case commands.AddJob():
                return self.add_job(command)
            case commands.AddResults(results=results):
                for job_id, result in results:
                    self.add_result(job_id, result)
                return commands.Done()
            case commands.AddProgress(items=items):
                for item in items:
                    self.add_progress(item)
                return commands.Done()
            case commands.EndJob():
                return self.end_job(command)
            case commands.PruneJobs(before=before):
                self.prune_jobs(before)
                return commands.Done()
            case commands.RetireStore(host_id=host_id):
                self.retiring.add(host_id)
                return commands.Done()
        raise TypeError(f'not a command: {type(command).__name__}')

    def add_job(self, command):
        """Accept a job once."""
        known = self.jobs.get(command.job_id)
        if known is not None:
            if known.account != command.account:
                return commands.JobNotFound()
            return commands.Done()
        tokens = sum(item.tokens for item in command.items)
        waiting = self.sum_waiting(command)
        if 0 < command.waiting_limit < waiting + tokens:
            return commands.WaitingFull(waiting)
        self.jobs[command.job_id] = Job(
            command.job_id,
            command.account,
            command.host,
            command.path_prefix,
            command.submitted,
            command.due,
            command.retained_until,
            command.max_attempts,
            len(command.items),
            {item.item_id: item for item in command.items},
            [],
        )
        return commands.Done()

    def sum_waiting(self, command):
        """Return the tokens of an account that wait on a route."""
        place = (command.account, command.host, command.path_prefix)
        return sum(
            job.waiting_tokens
            for job in self.jobs.values()
            if (job.account, job.host, job.path_prefix) == place
        )

    def add_result(self, job_id, result):
        """List a result at the next position, if its item has none."""
        job = self.jobs.get(job_id)
        if job is None or job.ended:
            return
        job.made.pop(result.item_id, None)
        job.makers.pop(result.item_id, None)
        if job.open.pop(result.item_id, None) is not None:
            job.results.append(result)

    def add_progress(self, item):
        """Keep events of an open item that follow those kept before.

        A leader that does not know all that is kept may tell events of a run
        that went on elsewhere in the text. They are left out, and the item
        is run again from what is kept.
        """
        job = self.jobs.get(item.job_id)
        if job is None or item.item_id not in job.open:
            return
        made = job.made.setdefault(item.item_id, [])
        known = len(made)
        maker = (item.order_id, item.begun)
        is_next = item.first == known + 1 and item.begun == known
        is_same = job.makers.get(item.item_id) == maker
        if is_next or (is_same and item.first <= known + 1):
            made.extend(item.texts[known + 1 - item.first :])
            job.makers[item.item_id] = maker

    def end_job(self, command):
        """End a job; what is listed stays listed."""
        job = self.jobs.get(command.job_id)
        if job is None or job.account != command.account:
            return commands.JobNotFound()
        job.ended = True
        job.open = {}
        job.made = {}
        job.makers = {}
        return commands.Done()

    def prune_jobs(self, before):
        """Forget closed jobs that were submitted before a time."""
        for job_id, job in list(self.jobs.items()):
            if job.is_closed and job.submitted < before:
                del self.jobs[job_id]

    def query(self, query):
        """Return the encoded reply to a query."""
        query = commands.FAMILY.decode(query)
        with self.lock:
            reply = self.answer(query)
        return commands.FAMILY.encode(reply)

    def answer(self, query):
        """Return the reply to a query."""
        match query:
            case commands.ReadCatalog():
                return commands.CatalogReply(self.version, self.document)
            case commands.ReadResults(job_id, account, after):
                job = self.find_job(job_id, account)
                if job is None:
                    return commands.JobNotFound()
                return commands.Results(job.total, list_results(job, after))
            case commands.ReadBody(job_id, account, item_id):
                job = self.find_job(job_id, account)
                item = None if job is None else job.open.get(item_id)
                if item is None:
                    return commands.JobNotFound()
                return commands.Body(item.body)
        raise TypeError(f'not a query: {type(query).__name__}')

    def find_job(self, job_id, account):
        """Return a job of an account, or None."""
        job = self.jobs.get(job_id)
        if job is None or job.account != account:
            return None
        return job

    def list_open(self):
        """Return the jobs that have open items."""
        with self.lock:
            return [
                (job, list(job.open.values()))
                for job in self.jobs.values()
                if not job.is_closed
            ]

    def is_open(self, job_id, item_id):
        """Return whether an item has no result and its job goes on."""
        with self.lock:
            job = self.jobs.get(job_id)
            return job is not None and item_id in job.open

    def get_made(self, job_id, item_id):
        """Return the events that an open item is known to have made.

        Returns
        -------
        list of bytes, tuple of (str, int) or None
            Events, and the order that made the last of them: its id and the
            number of the event after which it went on.
        """
        with self.lock:
            job = self.jobs.get(job_id)
            if job is None:
                return [], None
            made = list(job.made.get(item_id, ()))
            return made, job.makers.get(item_id)

    def get_catalog(self):
        """Return version and document of the configuration in force."""
        with self.lock:
            return self.version, self.document

    def snapshot(self):
        """Return the encoded state."""
        with self.lock:
            image = Image(
                self.version,
                self.document,
                list(self.jobs.values()),
                sorted(self.retiring),
            )
            return msgspec.msgpack.encode(image)

    def restore(self, data):
        """Replace the state."""
        image = IMAGE_DECODER.decode(data)
        with self.lock:
            self.version = image.version
            self.document = image.document
            self.jobs = {job.job_id: job for job in image.jobs}
            self.retiring = set(image.retiring)
        if self.notify is not None:
            self.notify()


def list_results(job, after):
    """Return results from a position on, as many as one answer holds."""
    chosen = []
    size = 0
    for result in job.results[max(0, after) :]:
        size += len(result.output)
        if chosen and size > RESULT_BYTES:
            break
        chosen.append(result)
    return tuple(chosen)
