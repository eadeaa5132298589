"""Queue of crash suspects, each of which runs alone on an endpoint."""

__all__ = ['AloneQueue']


class AloneQueue:
    """Suspects of one host; one at a time gets a whole endpoint."""

    def __init__(self):
        self.entries = {}
        self.endpoint_id = None
        self.started = False

    def push(self, entry):
        """Add a suspect."""
        self.entries[entry.work.work_id] = entry

    def get_first(self):
        """Return the suspect whose turn it is, or None."""
        if self.started or not self.entries:
            return None
        return next(iter(self.entries.values()))

    def select(self, candidates, load_view, slots, now):
        """Return the endpoint to be emptied for the first suspect.

        Parameters
        ----------
        candidates : list of EndpointInfo
            Endpoints on which it could run.
        load_view : LoadView
            The least loaded one is emptied soonest.
        slots : SlotTable
            Is told to ask the home host for the whole endpoint.
        now : float
            Monotonic seconds.

        Returns
        -------
        EndpointInfo or None
            None without candidates.
        """
        for endpoint in candidates:
            if endpoint.endpoint_id == self.endpoint_id:
                return endpoint
        self.drop_endpoint(slots)
        if not candidates:
            return None
        best = min(candidates, key=lambda e: load_view.estimate(e, now))
        self.endpoint_id = best.endpoint_id
        slots.request_exclusive(best.endpoint_id, True)
        return best

    def start_first(self):
        """Take the first suspect out; its endpoint stays reserved."""
        del self.entries[next(iter(self.entries))]
        self.started = True

    def finish(self, slots):
        """Give the endpoint back after the suspect has ended."""
        self.started = False
        self.drop_endpoint(slots)

    def drop_endpoint(self, slots):
        """Give the reserved endpoint back."""
        if self.endpoint_id is not None:
            slots.request_exclusive(self.endpoint_id, False)
            self.endpoint_id = None

    def withdraw(self, work_id, slots):
        """Remove a suspect; return whether it waited."""
        entry = self.entries.pop(work_id, None)
        if entry is not None and not self.entries and not self.started:
            self.drop_endpoint(slots)
        return entry is not None

    def take_expired(self, now, slots):
        """Remove and return the entries whose deadline has passed."""
        expired = [
            entry
            for entry in self.entries.values()
            if entry.work.deadline <= now
        ]
        for entry in expired:
            self.withdraw(entry.work.work_id, slots)
        return expired
