"""Live hosts of the fleet as known to one host."""

import random as random_module
import threading
import time

import logbook

from rhubarbreach import clock
from rhubarbreach.membership import members
from rhubarbreach.membership import model
from rhubarbreach.membership import swim
from rhubarbreach.protocol import membermessages
from rhubarbreach import rendezvous

__all__ = ['Membership']

LOG = logbook.Logger('membership')

TICK_SECONDS = 0.04
MILLISECONDS_PER_SECOND = 1000


class Membership:
    """Failure detection and table of live hosts.

    Parameters
    ----------
    settings : HostSettings
        Identity and addresses of this host.
    link : Link
        Link whose peer addresses are kept up to date.
    seeds : iterable of tuple of str and str
        Host ids and link addresses of the peers in the settings.
    incarnation : int, optional
        Number that must grow with each start. The default is the wall clock
        in milliseconds.
    random : random.Random, optional
        Source of randomness.
    """

    def __init__(self, settings, link, seeds, incarnation=None, random=None):
        if incarnation is None:
            incarnation = int(time.time() * MILLISECONDS_PER_SECOND)
        own = membermessages.HostRow(
            settings.host_id,
            settings.link,
            settings.zone,
            settings.region,
            tuple(settings.roles),
            incarnation,
            members.Status.ALIVE,
            settings.http,
        )
        self.host_id = settings.host_id
        self.region = settings.region
        self.zone = settings.zone
        self.link = link
        self.seeds = dict(seeds)
        self.lock = threading.RLock()
        self.stopped = threading.Event()
        self.listeners = []
        self.outgoing = []
        self.snapshot = ()
        self.thread = None
        self.detector = swim.Detector(
            own, self.seeds, self.queue_message, random or random_module
        )
        self.rebuild()
        for message_type in (
            membermessages.Probe,
            membermessages.ProbeReply,
            membermessages.ProbeRequest,
            membermessages.HostTable,
        ):
            link.register(message_type, self.receive, inline=True)

    def start(self):
        """Join through the seeds and start probing."""
        for host_id, address in self.seeds.items():
            self.link.set_peer(host_id, address)
        self.thread = threading.Thread(
            target=self.run, name='membership', daemon=True
        )
        self.thread.start()

    def close(self):
        """Stop probing. The other hosts then declare this host dead."""
        self.stopped.set()
        if self.thread is not None:
            self.thread.join()

    def alive(self):
        """Return the live hosts, including this one, sorted by id."""
        return self.snapshot

    def owners(self, name, count, zone=None, region=None):
        """Return the hosts responsible for a name.

        Parameters
        ----------
        name : str
            Name that is assigned to hosts.
        count : int
            Maximum number of hosts to return.
        zone, region : str, optional
            Consider only hosts of this zone or region.

        Returns
        -------
        tuple of str
            Host ids, highest rank first. Draining hosts are left out as
            long as other entry hosts are live, and hosts of other roles as
            long as any entry host is live.
        """
        hosts = [
            host
            for host in self.snapshot
            if (zone is None or host.zone == zone)
            and (region is None or host.region == region)
        ]
        entry = [host for host in hosts if 'entry' in host.roles]
        available = [host for host in entry if not host.draining]
        candidates = [host.host_id for host in available or entry or hosts]
        return rendezvous.rank_hosts(name, candidates, count)

    def subscribe(self, listener):
        """Call `listener(hosts)` after each change of the live hosts."""
        with self.lock:
            self.listeners.append(listener)

    def set_draining(self, draining=True):
        """Announce to the other hosts whether this host accepts new work."""
        status = members.Status.DRAINING if draining else members.Status.ALIVE
        with self.lock:
            self.detector.update_own_row(status=status)
            self.rebuild()
            alive = self.detector.alive_ids()[: swim.MAX_PIGGYBACK_ROWS]
            for host_id in alive:
                self.detector.probe(host_id, clock.monotonic())
        self.flush()

    def queue_message(self, host_id, message):
        """Queue a message of the detector until the lock is released."""
        self.outgoing.append((host_id, message))

    def run(self):
        """Probe until closed."""
        while not self.stopped.wait(TICK_SECONDS):
            try:
                with self.lock:
                    self.detector.tick(clock.monotonic())
                self.flush()
            except Exception:
                # Without this thread, the other hosts would count as live
                # for ever.
                LOG.exception('event=probe_failed')

    def receive(self, sender_id, message):
        """Handle a message of the failure detector."""
        with self.lock:
            self.detector.receive(sender_id, message, clock.monotonic())
        self.flush()

    def flush(self):
        """Apply changes to the link, send messages, call the listeners."""
        with self.lock:
            changes = self.detector.take_changes()
            for row in changes:
                self.link.set_peer(row.host_id, row.address)
                LOG.info(
                    'event=host_changed peer={} status={} incarnation={}',
                    row.host_id,
                    row.status,
                    row.incarnation,
                )
            before = self.snapshot
            self.rebuild()
            outgoing, self.outgoing = self.outgoing, []
            listeners = tuple(self.listeners)
            snapshot = self.snapshot
        for host_id, message in outgoing:
            self.link.send(host_id, message)
        if snapshot != before:
            for listener in listeners:
                try:
                    listener(snapshot)
                except Exception:
                    LOG.exception('event=listener_failed')

    def rebuild(self):
        """Rebuild the snapshot that `alive` returns."""
        own = self.detector.own
        draining = own.status == members.Status.DRAINING
        hosts = [make_info(own, draining)]
        for member in self.detector.members.values():
            if member.row.status != members.Status.DEAD:
                hosts.append(make_info(member.row, member.draining))
        hosts.sort(key=lambda host: host.host_id)
        self.snapshot = tuple(hosts)


def make_info(row, draining):
    """Return the `HostInfo` of a row."""
    return model.HostInfo(
        row.host_id,
        row.region,
        row.zone,
        row.address,
        row.http_address,
        row.roles,
        row.incarnation,
        draining,
    )
