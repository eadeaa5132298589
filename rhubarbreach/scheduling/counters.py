"""Service of client accounts, exchanged between hosts."""

from rhubarbreach.protocol import hostmessages
from rhubarbreach.scheduling import work

__all__ = ['ServiceTotals']


class ServiceTotals:
    """Total cost served for each account, on this host and on others.

    Totals, not differences, are exchanged, so that a lost or repeated
    message changes nothing.
    """

    def __init__(self):
        self.own = {}
        self.credit = {}
        self.sent = {}
        self.remote = {}

    def add(self, lane, account_id, cost):
        """Count cost served on this host.

        Totals never fall, so that a smaller one means a restarted host:
        what was counted too much is taken off what follows.

        Parameters
        ----------
        lane : Lane
            Lane in which it was served.
        account_id : str
            Client account.
        cost : float
            Tokens; negative to correct an estimate.
        """
        key = (lane, account_id)
        credit = self.credit.get(key, 0.0) - cost
        self.credit[key] = max(0.0, credit)
        self.own[key] = self.own.get(key, 0.0) + max(0.0, -credit)

    def take_changed(self):
        """Return a message with the totals that changed, or None."""
        changed = [
            (key, total)
            for key, total in self.own.items()
            if self.sent.get(key) != total
        ]
        if not changed:
            return None
        self.sent.update(changed)
        return hostmessages.ServiceCounters(
            tuple(
                hostmessages.ServiceCounter(account_id, total, lane)
                for (lane, account_id), total in changed
            )
        )

    def merge(self, host_id, counters):
        """Take totals of another host.

        Parameters
        ----------
        host_id : str
            Host that served.
        counters : ServiceCounters
            Its totals.

        Returns
        -------
        list of ServiceCounter
            Cost served since the last message, positive only. The first
            total of a host only sets the reference.
        """
        gained = []
        known = self.remote.setdefault(host_id, {})
        for counter in counters.counters:
            lane = work.Lane(counter.lane)
            key = (lane, counter.account_id)
            before = known.get(key)
            known[key] = counter.served
            if before is not None and counter.served > before:
                gained.append(
                    hostmessages.ServiceCounter(
                        counter.account_id, counter.served - before, lane
                    )
                )
        return gained
