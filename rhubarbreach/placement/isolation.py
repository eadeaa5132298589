"""Queue of crash suspects, each of which runs alone on an endpoint."""

__all__ = ['IsolationQueue']


class IsolationQueue:
    """Crash suspects of one host, run one at a time on a reserved endpoint."""

    def __init__(self):
        self.entries = {}
        self.endpoint_id = None
        self.started = False

    def push(self, entry):
        """Append a suspect."""
        self.entries[entry.work.work_id] = entry

    def list_waiting(self):
        """Return the waiting suspects, in order."""
        return list(self.entries.values())

    def reserve_endpoint(self, candidates, load_view, slots, now):
        """Reserve and return an endpoint for the next suspect.

        Parameters
        ----------
        candidates : list of EndpointInfo
            Endpoints on which the suspect may run, at least one.
        load_view : LoadView
            Estimated loads. The least loaded endpoint is chosen, since it
            becomes free first.
        slots : SlotTable
            Slot table that requests the whole endpoint from its home host.
        now : float
            Monotonic seconds.

        Returns
        -------
        EndpointInfo
            The reserved endpoint.
        """
        for endpoint in candidates:
            if endpoint.endpoint_id == self.endpoint_id:
                return endpoint
        self.release_endpoint(slots)
        best = min(
            candidates,
            key=lambda candidate: load_view.estimate(candidate, now),
        )
        self.endpoint_id = best.endpoint_id
        slots.request_exclusive(best.endpoint_id, True)
        return best

    def start(self, entry):
        """Remove a suspect from the queue and keep its endpoint."""
        del self.entries[entry.work.work_id]
        self.started = True

    def finish(self, slots):
        """Release the endpoint after the suspect has ended."""
        self.started = False
        self.release_endpoint(slots)

    def release_endpoint(self, slots):
        """Release the reserved endpoint, if any."""
        if self.endpoint_id is not None:
            slots.request_exclusive(self.endpoint_id, False)
            self.endpoint_id = None

    def withdraw(self, work_id, slots):
        """Remove a suspect; return whether it was in the queue."""
        entry = self.entries.pop(work_id, None)
        if entry is not None and not self.entries and not self.started:
            self.release_endpoint(slots)
        return entry is not None

    def pop_expired(self, now, slots):
        """Remove and return the entries whose deadline has passed."""
        expired = [
            entry
            for entry in self.entries.values()
            if entry.work.deadline <= now
        ]
        for entry in expired:
            self.withdraw(entry.work.work_id, slots)
        return expired
