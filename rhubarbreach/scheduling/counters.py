"""Service totals of client accounts, exchanged between hosts."""

from rhubarbreach.protocol import hostmessages
from rhubarbreach.scheduling import work

__all__ = ['ServiceTotals']


class ServiceTotals:
    """Total cost served for each account, on this host and on other hosts.

    Hosts exchange totals instead of differences, so that a lost or repeated
    message has no effect on the result.
    """

    def __init__(self):
        self.own = {}
        self.overcount = {}
        self.sent = {}
        self.remote = {}

    def add(self, lane, account_id, cost):
        """Add cost served on this host.

        Totals never decrease, so that a smaller total indicates a restarted
        host. A negative correction is therefore subtracted from later costs.

        Parameters
        ----------
        lane : Lane
            Lane in which the work was served.
        account_id : str
            Client account.
        cost : float
            Cost in tokens; negative to correct an estimate.
        """
        key = (lane, account_id)
        overcount = self.overcount.get(key, 0.0) - cost
        self.overcount[key] = max(0.0, overcount)
        self.own[key] = self.own.get(key, 0.0) + max(0.0, -overcount)

    def pop_changed(self):
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
        """Merge the totals of another host.

        Parameters
        ----------
        host_id : str
            Host that served the work.
        counters : ServiceCounters
            Totals of that host.

        Returns
        -------
        list of ServiceCounter
            Positive increases since the last message. The first total of a
            host is only a reference for later ones.
        """
        increases = []
        previous_totals = self.remote.setdefault(host_id, {})
        for counter in counters.counters:
            lane = work.Lane(counter.lane)
            key = (lane, counter.account_id)
            previous = previous_totals.get(key)
            previous_totals[key] = counter.served
            if previous is not None and counter.served > previous:
                increases.append(
                    hostmessages.ServiceCounter(
                        counter.account_id, counter.served - previous, lane
                    )
                )
        return increases
