"""Exchange of loads between the entry hosts of an availability zone."""

import threading
import time

import msgspec

from rhubarbreach import clock
from rhubarbreach import eventlog
from rhubarbreach.fleet import zone_loads
from rhubarbreach.protocol import fleetmessages

__all__ = ['ZoneNews']

LOG = eventlog.Logger('zone')

# Shortest time between two log lines on slow or overdue endpoints.
SLOW_LOG_SECONDS = 2.0


class ZoneNews:
    """Task that reports the load of this host to the others in its zone.

    Parameters
    ----------
    link : Link
        Link to the other hosts.
    view : View
        Endpoints and their loads as this host knows them.
    """

    def __init__(self, link, view):
        self.link = link
        self.view = view
        self.closed = False
        self.slow = []
        self.next_log = float('-inf')
        self.overdue = []
        self.next_overdue_log = float('-inf')
        self.budget = zone_loads.NewsBudget()
        # Set when the load has changed, and when others must know it at once.
        self.changed = threading.Event()
        self.urgent = threading.Event()
        link.register(fleetmessages.LoadNews, self.apply_news, inline=True)
        view.on_change = self.notify_change
        self.thread = threading.Thread(
            target=self.run, name='zone-news', daemon=True
        )
        self.thread.start()

    def notify_change(self, is_urgent):
        """Schedule a report after a change of the load."""
        self.changed.set()
        if is_urgent:
            self.urgent.set()

    def apply_news(self, sender_id, message):
        """Store the report of another host."""
        now = clock.monotonic()
        self.view.report_peer(
            sender_id,
            message.running,
            now,
            message.slowness,
            message.overdue or None,
        )
        if message.failed:
            self.view.cold.record_news(message.failed, now)

    def run(self):
        """Send reports until the task is closed."""
        while not self.closed:
            try:
                self.send_report()
                self.log_slow(clock.monotonic())
                self.log_overdue(clock.monotonic())
            except Exception:
                LOG.exception('event=zone_news_failed')
            peer_count = len(self.view.counts.list_peers())
            time.sleep(self.budget.spend(peer_count, clock.monotonic()))
            if not self.changed.wait(zone_loads.MAX_NEWS_INTERVAL_SECONDS):
                continue
            # Changes that are not urgent share a report.
            self.urgent.wait(zone_loads.IDLE_NEWS_INTERVAL_SECONDS)

    def send_report(self):
        """Report the running requests of this host to its peers."""
        self.changed.clear()
        self.urgent.clear()
        now = clock.monotonic()
        message = fleetmessages.LoadNews(
            self.view.counts.copy_running(),
            self.view.performance.pop_slowness(),
            self.view.cold.list_news(now),
            self.view.health.list_overdue(now) or msgspec.UNSET,
        )
        for host_id in self.view.counts.list_peers():
            self.link.send(host_id, message)

    def log_slow(self, now):
        """Log the slow endpoints if they have changed."""
        if now < self.next_log:
            return
        slow = self.view.performance.list_slow(now)
        if slow != self.slow:
            self.slow = slow
            self.next_log = now + SLOW_LOG_SECONDS
            LOG.info('event=endpoints_slow endpoints={}', slow)

    def log_overdue(self, now):
        """Log the endpoints that are overdue here if they have changed."""
        if now < self.next_overdue_log:
            return
        overdue = sorted(self.view.health.list_overdue(now))
        if overdue != self.overdue:
            self.overdue = overdue
            self.next_overdue_log = now + SLOW_LOG_SECONDS
            LOG.info('event=endpoints_overdue endpoints={}', overdue)

    def close(self):
        """Stop the task."""
        self.closed = True
        self.changed.set()
        self.urgent.set()
