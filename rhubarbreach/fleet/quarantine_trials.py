"""Trials of quarantined prompt parts, on the leader.

A part may have been quarantined by mistake. From time to time one entry host
may therefore send one request with it. If an endpoint answers, the part is
released. As each trial of a culprit costs an endpoint, a trial is committed
before it is granted, so that the number of trials holds under the next leader,
and the time between trials grows.
"""

import dataclasses

from rhubarbreach.fleet import request_parts

__all__ = ['TrialTable', 'compute_pause', 'may_try']

# Seconds from the quarantine of a part to its first trial.
FIRST_PAUSE_SECONDS = 4.0
PAUSE_FACTOR = 8.0
# Trials of a request. At most three retries may reach endpoints once it is
# known to crash them, and one may be under way.
MAX_REQUEST_TRIALS = 2
# Seconds for which a host may use a trial after it was last granted.
GRANT_SECONDS = 2.0
# Seconds without a request for the part at a host, or without a report of it,
# after which its trial is no longer granted there.
IDLE_SECONDS = 2.0
# Time for the report on a trial that was used at the last moment.
REPORT_SECONDS = 1.0


def compute_pause(trial_number):
    """Return the seconds from a trial to the next one.

    Parameters
    ----------
    trial_number : int
        Number of trials so far; 0 stands for the beginning of the quarantine.
    """
    return FIRST_PAUSE_SECONDS * PAUSE_FACTOR**trial_number


def may_try(part, trial_number):
    """Return whether a part may be tried after a number of trials."""
    return (
        not request_parts.is_request_part(part)
        or trial_number < MAX_REQUEST_TRIALS
    )


@dataclasses.dataclass
class Trial:
    """Trial of a part that a host may make.

    `wanted_at` is the time of the last report that the host had a request for
    the part, and `granted_at` that of the last grant, in seconds of the
    monotonic clock.
    """

    host_id: str
    number: int
    wanted_at: float
    granted_at: float


class TrialTable:
    """Hosts that need quarantined parts, and the trials in progress.

    Callers have to hold a lock.
    """

    def __init__(self):
        self.wanted = {}
        self.trials = {}

    def report(self, host_id, wanted, used, now):
        """Record what a host reports.

        Parameters
        ----------
        host_id : str
            Reporting host.
        wanted : iterable of str
            Quarantined parts of requests that came to the host.
        used : dict of str to int
            Number of the last trial that the host used, by part.
        now : float
            Seconds of the monotonic clock.
        """
        for part, number in used.items():
            trial = self.trials.get(part)
            if (
                trial is not None
                and trial.host_id == host_id
                and number >= trial.number
            ):
                del self.trials[part]
        for part in wanted:
            self.wanted[part] = (host_id, now)
            trial = self.trials.get(part)
            if trial is None:
                continue
            if trial.host_id == host_id:
                trial.wanted_at = now
            elif now - trial.granted_at > GRANT_SECONDS + REPORT_SECONDS:
                # Requests for the part now come to this host.
                trial.host_id = host_id
                trial.wanted_at = now

    def find_due(self, due_parts, now):
        """Return a part to try and a host that has requests for it.

        Parameters
        ----------
        due_parts : iterable of str
            Quarantined parts whose next trial is due.
        now : float
            Seconds of the monotonic clock.

        Returns
        -------
        tuple of str or None
        """
        for part in due_parts:
            host_id, wanted_at = self.wanted.get(part, (None, now))
            if (
                part not in self.trials
                and host_id is not None
                and now - wanted_at <= IDLE_SECONDS
            ):
                return part, host_id
        return None

    def begin(self, part, host_id, number, now):
        """Begin a trial that is being committed."""
        self.trials[part] = Trial(host_id, number, now, now)

    def keep(self, numbers):
        """Forget parts that are released, and trials that were not committed.

        Parameters
        ----------
        numbers : dict of str to int
            Number of the last committed trial of each quarantined part.
        """
        self.wanted = {p: w for p, w in self.wanted.items() if p in numbers}
        self.trials = {
            part: trial
            for part, trial in self.trials.items()
            if trial.number <= numbers.get(part, -1)
        }

    def list_grants(self, host_id, numbers, now):
        """Return the committed trials that a host may make, by part."""
        granted = {}
        for part, trial in self.trials.items():
            if (
                trial.host_id == host_id
                and trial.number == numbers.get(part)
                and now - trial.wanted_at <= IDLE_SECONDS
            ):
                trial.granted_at = now
                granted[part] = trial.number
        return granted
