"""Requests suspected of crashing endpoints."""

import dataclasses

from rhubarbreach.protocol import hostmessages

__all__ = ['MAX_STRIKES', 'Suspects']

# Endpoint deaths while a request ran alone, after which it is refused.
MAX_STRIKES = 2
# Seconds after which a suspicion or strike is forgotten.
KEEP = 3600.0


@dataclasses.dataclass(slots=True)
class Case:
    """What is known against one request digest."""

    strikes: set
    expires_at: float


class Suspects:
    """Suspects and strikes, shared between hosts by `StrikeReport`.

    Strikes are kept as the set of endpoint incarnations that died, so that
    a repeated report counts once.
    """

    def __init__(self):
        self.cases = {}

    def report_death(self, endpoint, digests, alone, now):
        """Note that an endpoint died while requests ran on it.

        Parameters
        ----------
        endpoint : EndpointInfo
            Endpoint that died.
        digests : iterable of bytes
            Requests of this host that ran on it.
        alone : bool
            Whether the only digest ran alone there.
        now : float
            Monotonic seconds.

        Returns
        -------
        list of StrikeReport
            To be sent to all hosts.
        """
        reports = [
            hostmessages.StrikeReport(
                digest, endpoint.endpoint_id, endpoint.incarnation, alone
            )
            for digest in digests
            if digest
        ]
        for report in reports:
            self.merge(report, now)
        return reports

    def merge(self, report, now):
        """Take a report of this or another host."""
        self.expire(now)
        case = self.cases.setdefault(report.digest, Case(set(), 0.0))
        case.expires_at = now + KEEP
        if report.alone:
            death = (report.endpoint_id, report.endpoint_incarnation)
            case.strikes.add(death)

    def clear(self, digest):
        """Drop the suspicion after a request completed alone."""
        self.cases.pop(digest, None)

    def expire(self, now):
        """Forget old cases."""
        old = [
            key for key, case in self.cases.items() if case.expires_at < now
        ]
        for key in old:
            del self.cases[key]

    def is_suspect(self, digest, now):
        """Return whether a request has to run alone."""
        case = self.cases.get(digest)
        return case is not None and now < case.expires_at

    def is_quarantined(self, digest, now):
        """Return whether a request is refused."""
        return (
            self.is_suspect(digest, now)
            and len(self.cases[digest].strikes) >= MAX_STRIKES
        )
