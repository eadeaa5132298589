"""Choice of the upstreams that a host polls for its configuration."""

from rhubarbreach.distribution import watch

__all__ = ['choose_upstreams']


def choose_upstreams(host_id, zone, roles, hosts, initial=()):
    """Return the hosts to poll, the preferred one first.

    Relays poll store hosts. All other hosts poll relays, if there are any, so
    that the load of a store host does not grow with the number of hosts.
    Relays never poll relays, so that no cycles arise.

    Parameters
    ----------
    host_id, zone : str
        Polling host and its availability zone.
    roles : tuple of str
        Roles of the polling host.
    hosts : iterable of rhubarbreach.membership.model.HostInfo
        Live hosts.
    initial : tuple of str
        Store hosts to poll as long as no live upstream is known.

    Returns
    -------
    tuple of str
        Host ids in this order: relays of the zone, other relays, store hosts
        of the zone, other store hosts. The order within each group differs
        between polling hosts.
    """
    others = [
        host for host in hosts if host.host_id != host_id and not host.draining
    ]
    upstreams = []
    for role in ('relay', 'store'):
        if role == 'relay' and 'relay' in roles:
            continue
        candidates = [host for host in others if role in host.roles]
        local = [host.host_id for host in candidates if host.zone == zone]
        remote = [host.host_id for host in candidates if host.zone != zone]
        upstreams.extend(watch.order_upstreams(host_id, local))
        upstreams.extend(watch.order_upstreams(host_id, remote))
    unique = tuple(dict.fromkeys(upstreams))
    return unique or watch.order_upstreams(host_id, initial)
