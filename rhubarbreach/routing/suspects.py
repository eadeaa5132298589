"""Requests suspected of crashing endpoints."""

import dataclasses

from rhubarbreach.protocol import hostmessages

__all__ = ['MAX_STRIKES', 'Suspects']

# A request is refused after this many endpoints were lost while it ran alone.
MAX_STRIKES = 2
# Time after the last strike for which it is refused; then it may run alone
# once more, as endpoints are also lost for other reasons. Each further strike
# makes it longer.
FIRST_REFUSAL_SECONDS = 60.0
REFUSAL_FACTOR = 8.0
# Retention period of a suspicion and its strikes.
RETENTION_SECONDS = 3600.0


@dataclasses.dataclass(slots=True)
class SuspectRecord:
    """Strikes against one request digest."""

    strikes: set
    expires_at: float
    refused_until: float = float('-inf')


class Suspects:
    """Requests suspected of crashing endpoints, and their strikes.

    Hosts share them in `StrikeReport` messages. The strikes are a set of lost
    endpoint incarnations, so that a repeated report counts once.
    """

    def __init__(self):
        self.records = {}

    def report_loss(self, endpoint, digests, alone, now):
        """Record that an endpoint was lost while requests ran on it.

        Parameters
        ----------
        endpoint : EndpointInfo
            Endpoint that was lost.
        digests : iterable of bytes
            Digests of the requests of this host that ran on it.
        alone : bool
            Whether the request ran alone; there is a single digest then.
        now : float
            Monotonic seconds.

        Returns
        -------
        list of StrikeReport
            Reports to send to all hosts.
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
        """Apply a report of this or another host."""
        self.expire(now)
        record = self.records.setdefault(
            report.digest, SuspectRecord(set(), 0.0)
        )
        record.expires_at = now + RETENTION_SECONDS
        if report.alone:
            lost_incarnation = (
                report.endpoint_id,
                report.endpoint_incarnation,
            )
            if lost_incarnation not in record.strikes:
                record.strikes.add(lost_incarnation)
                self.extend_refusal(record, now)

    def extend_refusal(self, record, now):
        """Refuse a request for some time after its latest strike."""
        count = len(record.strikes) - MAX_STRIKES
        if count >= 0:
            seconds = FIRST_REFUSAL_SECONDS * REFUSAL_FACTOR**count
            record.refused_until = now + min(seconds, RETENTION_SECONDS)

    def clear(self, digest):
        """Remove the suspicion after a request has completed alone."""
        self.records.pop(digest, None)

    def expire(self, now):
        """Remove expired records."""
        expired = [
            digest
            for digest, record in self.records.items()
            if record.expires_at < now
        ]
        for digest in expired:
            del self.records[digest]

    def is_suspect(self, digest, now):
        """Return whether a request must run alone on an endpoint."""
        record = self.records.get(digest)
        return record is not None and now < record.expires_at

    def is_quarantined(self, digest, now):
        """Return whether a request must be refused."""
        return (
            self.is_suspect(digest, now)
            and now < self.records[digest].refused_until
        )
