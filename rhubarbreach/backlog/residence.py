"""Endpoints that have probably cached the prompts of items.

Designed for items that yield to load peaks and resume later, and for jobs
whose items share the first part of their prompts. A wrong hint costs the time
to read a prompt.
"""

import collections

__all__ = ['Residence']

# Items and jobs that are remembered, and endpoints of each job.
MAX_ITEMS = 4096
MAX_JOBS = 256
MAX_JOB_ENDPOINTS = 8


class Residence:
    """Last endpoint process of each item, and last endpoints of each job."""

    def __init__(self):
        self.items = collections.OrderedDict()
        self.jobs = collections.OrderedDict()

    def record(self, key, endpoint):
        """Record that an endpoint has read the prompt of an item."""
        job_id, _ = key
        process = (endpoint.endpoint_id, endpoint.born)
        self.items[key] = process
        self.items.move_to_end(key)
        if len(self.items) > MAX_ITEMS:
            self.items.popitem(last=False)
        processes = self.jobs.setdefault(job_id, collections.OrderedDict())
        self.jobs.move_to_end(job_id)
        processes[process] = None
        processes.move_to_end(process)
        if len(processes) > MAX_JOB_ENDPOINTS:
            processes.popitem(last=False)
        if len(self.jobs) > MAX_JOBS:
            self.jobs.popitem(last=False)

    def find(self, keys, endpoints):
        """Return where the prompts of items are cached, by item key.

        Parameters
        ----------
        keys : iterable of tuple of str
            Ids of jobs and items.
        endpoints : dict of str to Endpoint
            Endpoints by id.

        Returns
        -------
        dict of tuple to tuple
            Endpoint that has read the prompt, or None, and the endpoints that
            have read that of another item of the job.
        """
        homes = {}
        nearby = {}
        for key in keys:
            job_id, _ = key
            if job_id not in nearby:
                nearby[job_id] = tuple(
                    process[0]
                    for process in self.jobs.get(job_id, ())
                    if is_alive(process, endpoints)
                )
            process = self.items.get(key)
            home = None
            if process is not None and is_alive(process, endpoints):
                home = process[0]
            homes[key] = (home, nearby[job_id])
        return homes


def is_alive(process, endpoints):
    """Return whether an endpoint is still the same process."""
    endpoint_id, born = process
    endpoint = endpoints.get(endpoint_id)
    return endpoint is not None and endpoint.born == born
