"""Replicated state: the configuration in force and the batch jobs.

The ledger is the state machine of a replicated log group. Its state depends
only on the commands, so that all stores hold the same state.
"""

import dataclasses
import threading

import msgspec

from rhubarbreach.backlog import ages
from rhubarbreach.backlog import commands
from rhubarbreach.backlog import jobs
from rhubarbreach import clock

__all__ = ['Ledger']

# Endpoints whose departures are kept at a time. Those of further ones are
# refused, as anybody may name endpoints that do not exist.
MAX_DEPARTURES = 32768
# Each entry host holds the quarantined parts in memory.
MAX_QUARANTINED_PARTS = 256


@dataclasses.dataclass(slots=True)
class Image:
    """Complete state of a ledger, as stored in a snapshot."""

    version: int
    document: bytes
    jobs: list[jobs.Job]
    retiring: list[str]
    quarantined: dict[str, float] = dataclasses.field(default_factory=dict)
    quarantine_revision: int = 0
    versions: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    trials: dict[str, tuple[int, float]] = dataclasses.field(
        default_factory=dict
    )
    evacuations: dict[str, tuple[bool, int]] = dataclasses.field(
        default_factory=dict
    )
    evacuation_revision: int = 0
    late_parts: list[str] = dataclasses.field(default_factory=list)
    departures: list[commands.AddDeparture] = dataclasses.field(
        default_factory=list
    )
    silent_stores: list[str] = dataclasses.field(default_factory=list)


IMAGE_DECODER = msgspec.msgpack.Decoder(Image)


class Ledger:
    """State machine of the log group.

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
        # Voters that the leader no longer heard.
        self.silent_stores = frozenset()
        # Unix time until which requests with a part are held back.
        self.quarantined = {}
        self.quarantine_revision = 0
        # Number of trials so far of each quarantined part, and the Unix time
        # of the next one.
        self.trials = {}
        # Quarantined parts that only a whole response releases.
        self.late_parts = set()
        # Pairs of a service and a software version.
        self.versions = set()
        # Whether each zone that ever was evacuated is so now, and the
        # revision of its last change.
        self.evacuations = {}
        self.evacuation_revision = 0
        # Last departure of each endpoint, and the number of changes.
        self.departures = {}
        self.departure_revision = 0
        # Not a part of the replicated state. `job_bytes` is the memory of all
        # jobs, with the outputs that the open items may still have.
        self.ages = ages.JobAges()
        self.job_bytes = 0

    def apply(self, index, command):
        """Apply an encoded command of the log; return the encoded reply."""
        command = commands.FAMILY.decode(command)
        with self.lock:
            reply = self.apply_command(command)
        if self.notify is not None:
            self.notify()
        return commands.FAMILY.encode(reply)

    def apply_command(self, command):
        """Apply a decoded command; return the reply."""
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
                    if item.job_id in self.jobs:
                        self.jobs[item.job_id].add_progress(item)
                return commands.Done()
            case commands.DropProgress(job_id=job_id, item_id=item_id):
                if job_id in self.jobs:
                    self.jobs[job_id].drop_progress(item_id)
                return commands.Done()
            case commands.EndJob():
                return self.end_job(command)
            case commands.PruneJobs(before=before):
                self.prune_jobs(before)
                return commands.Done()
            case commands.RetireStore(host_id=host_id):
                self.retiring.add(host_id)
                return commands.Done()
            case commands.RecordSilentStores(host_ids=host_ids):
                self.silent_stores = frozenset(host_ids)
                return commands.Done()
            case commands.QuarantinePart():
                self.quarantine_part(command)
                return commands.Done()
            case commands.ReleaseParts(parts=parts):
                for part in parts:
                    self.quarantined.pop(part, None)
                    self.trials.pop(part, None)
                    self.late_parts.discard(part)
                self.quarantine_revision += 1
                return commands.Done()
            case commands.AddVersions(versions=versions):
                self.versions.update(versions)
                return commands.Done()
            case commands.RemoveVersions(versions=versions):
                self.versions.difference_update(versions)
                return commands.Done()
            case commands.StartEvacuation(zone=zone, expected=expected):
                return self.set_evacuated(zone, True, expected)
            case commands.EndEvacuation(zone=zone, expected=expected):
                return self.set_evacuated(zone, False, expected)
            case commands.AddDeparture():
                return self.add_departure(command)
            case commands.RemoveDepartures(before=before):
                self.departures = {
                    endpoint_id: departure
                    for endpoint_id, departure in self.departures.items()
                    if departure.time >= before
                }
                return commands.Done()
        raise TypeError(f'not a command: {type(command).__name__}')

    def add_job(self, command):
        """Accept a job; accept a repeated command without effect."""
        existing = self.jobs.get(command.job_id)
        if existing is not None:
            if not may_use(existing, command):
                return commands.JobNotFound()
            return commands.Done()
        tokens = sum(item.tokens for item in command.items)
        waiting = self.sum_waiting_tokens(command)
        if 0 < command.waiting_limit < waiting + tokens:
            return commands.WaitingFull(waiting)
        self.jobs[command.job_id] = jobs.Job(
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
        self.job_bytes += sum(map(jobs.measure_item, command.items))
        self.ages.add(command.job_id, clock.monotonic())
        return commands.Done()

    def sum_waiting_tokens(self, command):
        """Return the tokens of an account's open items on a route."""
        route_key = (command.account, command.host, command.path_prefix)
        return sum(
            job.waiting_tokens
            for job in self.jobs.values()
            if (job.account, job.host, job.path_prefix) == route_key
        )

    def add_result(self, job_id, result):
        """Append a result unless its item already has one."""
        job = self.jobs.get(job_id)
        if job is not None and not job.ended:
            self.job_bytes += job.add_result(result)

    def end_job(self, command):
        """End a job; its results stay readable."""
        job = self.find_job(command)
        if job is None:
            return commands.JobNotFound()
        self.job_bytes -= job.size
        job.end()
        self.job_bytes += job.size
        return commands.Done()

    def prune_jobs(self, before):
        """Delete closed jobs that were submitted before a Unix time."""
        for job_id, job in list(self.jobs.items()):
            if job.is_closed and job.submitted < before:
                del self.jobs[job_id]
                self.job_bytes -= job.size
                self.ages.remove(job_id)

    def is_expired(self, job, unix_time, now):
        """Return whether the open items of a job may be given up.

        Parameters
        ----------
        job : Job
            Job of this ledger.
        unix_time : float
            Time of day as Unix time in seconds.
        now : float
            Seconds of the monotonic clock.
        """
        retention = job.retained_until - job.submitted
        return (
            unix_time > job.retained_until
            and self.ages.get(job.job_id, now) >= retention
        )

    def find_prune_cutoff(self, retention, unix_time, now):
        """Return the Unix time before which submitted jobs may be deleted.

        Parameters
        ----------
        retention : float
            Seconds for which closed jobs stay readable.
        unix_time : float
            Time of day as Unix time in seconds.
        now : float
            Seconds of the monotonic clock.
        """
        with self.lock:
            retained = [
                job.submitted
                for job in self.jobs.values()
                if self.ages.get(job.job_id, now) < retention
            ]
        return min([unix_time - retention, *retained])

    def quarantine_part(self, command):
        """Hold a part back; release the earliest one if there are too many."""
        self.quarantined[command.part] = command.until
        self.trials[command.part] = (command.trial_number, command.next_trial)
        if command.late:
            self.late_parts.add(command.part)
        if len(self.quarantined) > MAX_QUARANTINED_PARTS:
            earliest = min(
                self.quarantined, key=lambda key: (self.quarantined[key], key)
            )
            del self.quarantined[earliest]
            del self.trials[earliest]
            self.late_parts.discard(earliest)
        self.quarantine_revision += 1

    def get_quarantine(self):
        """Return the revision and the parts of the quarantine.

        Returns
        -------
        int, dict of str to float
            Number of changes, and the Unix time of the end by part.
        """
        with self.lock:
            return self.quarantine_revision, dict(self.quarantined)

    def get_trials(self):
        """Return the trials of the quarantined parts.

        Returns
        -------
        dict of str to tuple of int and float
            Number of trials so far, and the Unix time of the next one.
        """
        with self.lock:
            return dict(self.trials)

    def get_late_parts(self):
        """Return the quarantined parts that only whole responses release."""
        with self.lock:
            return set(self.late_parts)

    def set_evacuated(self, zone, is_evacuated, expected):
        """Evacuate a zone or end that, unless it has changed since."""
        current, revision = self.evacuations.get(zone, (False, 0))
        if revision and current == is_evacuated:
            return commands.Done()
        if revision != expected:
            return commands.Superseded()
        self.evacuation_revision += 1
        self.evacuations[zone] = (is_evacuated, self.evacuation_revision)
        return commands.Done()

    def list_restored(self, revision):
        """Return the zones whose evacuation has ended since a revision.

        A store may learn of its start and its end at the same time.
        """
        with self.lock:
            return [
                zone
                for zone, (is_evacuated, last) in self.evacuations.items()
                if not is_evacuated and last > revision
            ]

    def get_evacuated(self):
        """Return the revision of the evacuations and the evacuated zones.

        Returns
        -------
        int, frozenset of str
            Number of changes, and names of availability zones.
        """
        with self.lock:
            return self.evacuation_revision, frozenset(
                zone
                for zone, (is_evacuated, _) in self.evacuations.items()
                if is_evacuated
            )

    def add_departure(self, departure):
        """Record a departure; refuse it if there are too many."""
        known = self.departures.get(departure.endpoint_id)
        if known is None and len(self.departures) >= MAX_DEPARTURES:
            return commands.DeparturesFull()
        state = (departure.born, departure.is_gone)
        if known is None or state > (known.born, known.is_gone):
            self.departures[departure.endpoint_id] = departure
            self.departure_revision += 1
        return commands.Done()

    def find_departure(self, endpoint_id):
        """Return the last departure of an endpoint, or None."""
        return self.departures.get(endpoint_id)

    def list_departures(self):
        """Return the last departure of each endpoint that has left."""
        with self.lock:
            return list(self.departures.values())

    def get_versions(self):
        """Return the recorded pairs of a service and a software version."""
        with self.lock:
            return set(self.versions)

    def query(self, query):
        """Return the encoded reply to an encoded query."""
        query = commands.FAMILY.decode(query)
        with self.lock:
            reply = self.answer_query(query)
        return commands.FAMILY.encode(reply)

    def answer_query(self, query):
        """Return the reply to a decoded query."""
        match query:
            case commands.ReadCatalog():
                return commands.CatalogReply(self.version, self.document)
            case commands.ReadEvacuation(zone):
                return commands.EvacuationReply(
                    *self.evacuations.get(zone, (False, 0))
                )
            case commands.ReadResults(after=after):
                job = self.find_job(query)
                if job is None:
                    return commands.JobNotFound()
                return commands.Results(job.total, job.list_results(after))
            case commands.ReadBody(item_id=item_id):
                job = self.find_job(query)
                if job is None:
                    return commands.JobNotFound()
                item = job.open.get(item_id)
                if item is None:
                    return commands.JobNotFound(is_item_missing=True)
                return commands.Body(item.body)
        raise TypeError(f'not a query: {type(query).__name__}')

    def find_job(self, request):
        """Return the job of a command or query, or None.

        A job that its caller may not use counts as none.
        """
        job = self.jobs.get(request.job_id)
        if job is None or not may_use(job, request):
            return None
        return job

    def list_open(self):
        """Return tuples of a job and its open items, for jobs with any."""
        with self.lock:
            return [
                (job, list(job.open.values()))
                for job in self.jobs.values()
                if not job.is_closed
            ]

    def is_open(self, job_id, item_id):
        """Return whether an item has no result and its job has not ended."""
        with self.lock:
            job = self.jobs.get(job_id)
            return job is not None and item_id in job.open

    def get_progress(self, job_id, item_id):
        """Return the committed events of an open item and their source.

        Returns
        -------
        list of bytes, tuple of (str, int) or None, str
            Events, the source of the last one, and the software version that
            produced them. The source is the id of the order whose run
            produced it, and the number of the event after which that run
            resumed the item.
        """
        with self.lock:
            job = self.jobs.get(job_id)
            if job is None:
                return [], None, ''
            return (
                list(job.made.get(item_id, ())),
                job.makers.get(item_id),
                job.versions.get(item_id, ''),
            )

    def get_end(self, job_id, item_id):
        """Return the process whose response ended after the last event.

        Returns
        -------
        int, tuple of (str, int) or None
            Number of the event, and the endpoint with the start of its
            process; None if no response ended there in order, without a
            length.
        """
        with self.lock:
            job = self.jobs.get(job_id)
            if job is None:
                return 0, None
            return len(job.made.get(item_id, ())), job.ends.get(item_id)

    def get_catalog(self):
        """Return the version and document of the configuration in force."""
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
                self.quarantined,
                self.quarantine_revision,
                sorted(self.versions),
                self.trials,
                self.evacuations,
                self.evacuation_revision,
                sorted(self.late_parts),
                list(self.departures.values()),
                sorted(self.silent_stores),
            )
            return msgspec.msgpack.encode(image)

    def restore(self, data):
        """Replace the state by an encoded one."""
        with self.lock:
            # The former and the new state need not be in memory together.
            self.jobs = {}
            image = IMAGE_DECODER.decode(data)
            del data
            self.version = image.version
            self.document = image.document
            self.jobs = {job.job_id: job for job in image.jobs}
            self.job_bytes = sum(job.size for job in image.jobs)
            self.retiring = set(image.retiring)
            self.quarantined = dict(image.quarantined)
            self.quarantine_revision = image.quarantine_revision
            self.versions = set(image.versions)
            self.trials = {
                part: image.trials.get(part, (0, 0.0))
                for part in image.quarantined
            }
            self.late_parts = set(image.late_parts)
            self.evacuations = dict(image.evacuations)
            self.evacuation_revision = image.evacuation_revision
            self.departures = {
                departure.endpoint_id: departure
                for departure in image.departures
            }
            self.departure_revision += 1
            self.silent_stores = frozenset(image.silent_stores)
            self.ages.update(self.jobs, clock.monotonic())
        if self.notify is not None:
            self.notify()


def may_use(job, request):
    """Return whether the caller of a command or query may use a job."""
    return request.any_account or job.account in ('', request.account)
