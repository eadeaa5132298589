"""Choice of the hosts that a host polls for its configuration."""

from rhubarbreach.distribution import watch

__all__ = ['choose_upstreams']


def choose_upstreams(host_id, zone, roles, hosts, initial=()):
    """Return the hosts to poll, the preferred one first.

    Relays poll store hosts, all others poll relays where there are any, so
    that a store host's load does not grow with the number of hosts. No host
    polls one of its own kind, which rules out circles.

    Parameters
    ----------
    host_id, zone : str
        Host that polls.
    roles : tuple of str
        Its roles.
    hosts : iterable of rhubarbreach.membership.model.HostInfo
        Live hosts.
    initial : tuple of str
        Store hosts to poll as long as no other is known.

    Returns
    -------
    tuple of str
        Host ids: relays of the zone, other relays, store hosts of the zone,
        other store hosts; each in an order that differs between hosts.
    """
    others = [
        host for host in hosts if host.host_id != host_id and not host.draining
    ]
    found = []
    for role in ('relay', 'store'):
        if role == 'relay' and 'relay' in roles:
            continue
        members = [host for host in others if role in host.roles]
        near = [host.host_id for host in members if host.zone == zone]
        far = [host.host_id for host in members if host.zone != zone]
        found.extend(watch.order_upstreams(host_id, near))
        found.extend(watch.order_upstreams(host_id, far))
    unique = tuple(dict.fromkeys(found))
    return unique or watch.order_upstreams(host_id, initial)
