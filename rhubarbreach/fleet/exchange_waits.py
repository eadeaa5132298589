"""Waits of requests for the reply of the leader to an exchange."""

import threading

from rhubarbreach import clock

__all__ = ['ExchangeWaits']

# Time that a request may wait for the loads of other hosts. An exchange takes
# about 5 ms, and the next one starts at the earliest 20 ms after it.
REFRESH_TIMEOUT_SECONDS = 0.04
# Time that a request may wait for a permit for a cold endpoint. It covers two
# immediate exchanges, and leaves a refused caller time to be served elsewhere.
PERMIT_TIMEOUT_SECONDS = 0.05
# With more hosts than this no request waits for a permit, as an exchange for
# each of them would occupy the leader.
MAX_WAITING_HOSTS = 400


class ExchangeWaits:
    """Requests of a host that wait for an exchange.

    The condition `changed` guards the counts, and is notified when a reply is
    applied.

    Parameters
    ----------
    schedule : Schedule
        Times of the exchanges.
    cold : ColdAccess
        Cold endpoints and permits for them.
    has_leader : callable
        Returns whether a leader has replied recently.
    """

    def __init__(self, schedule, cold, has_leader):
        self.schedule = schedule
        self.cold = cold
        self.has_leader = has_leader
        self.changed = threading.Condition(threading.Lock())
        self.reply_count = 0
        # Numbers of the last exchange that has begun, and of the last one that
        # was answered.
        self.begun_count = 0
        self.answered_count = 0

    def begin_exchange(self):
        """Count an exchange that begins."""
        with self.changed:
            self.begun_count += 1

    def end_exchange(self):
        """Wake the requests that wait, as a reply is applied."""
        with self.changed:
            self.reply_count += 1
            self.answered_count = self.begun_count
            self.changed.notify_all()

    def wait_until(self, is_done, deadline):
        """Wait for replies; return whether a condition holds in time.

        Parameters
        ----------
        is_done : callable
            Returns whether the condition holds.
        deadline : float
            Seconds of the monotonic clock.
        """
        with self.changed:
            while not is_done():
                remaining = clock.remaining(deadline, clock.monotonic())
                if not remaining or not self.changed.wait(remaining):
                    return False
        return True

    def refresh_loads(self):
        """Start an exchange and wait a short time for the reply.

        In a large fleet the next exchange begins too late to wait for it.
        """
        if self.schedule.min_interval > REFRESH_TIMEOUT_SECONDS:
            self.schedule.request_loads()
            return
        deadline = clock.monotonic() + REFRESH_TIMEOUT_SECONDS
        with self.changed:
            previous = self.reply_count
        self.schedule.request_loads()
        self.wait_until(lambda: self.reply_count != previous, deadline)

    def wait_for_exchange(self, deadline):
        """Start an exchange; return whether it was answered in time."""
        with self.changed:
            begun = self.begun_count
        self.schedule.request_tokens()
        return self.wait_until(lambda: self.answered_count > begun, deadline)

    def wait_for_permit(self, service, excluded, software_version=None):
        """Wait for a permit for a cold endpoint if a request needs one.

        A request waits for one reply, and for further ones only while no warm
        endpoint has a free slot.

        Parameters
        ----------
        service : str
            Service of the request.
        excluded : collection of str
            Endpoints that have already been tried.
        software_version : str, optional
            Version of the endpoints at which a stream may be resumed.
        """
        cold = self.cold
        if not self.has_leader():
            return
        now = clock.monotonic()
        deadline = now + PERMIT_TIMEOUT_SECONDS
        while cold.needs_permit(service, excluded, software_version, now):
            cold.want_permit(service)
            if self.schedule.entry_host_count > MAX_WAITING_HOSTS:
                self.schedule.request_loads()
                return
            if not self.wait_for_exchange(deadline):
                return
            now = clock.monotonic()
            if not cold.are_warm_full(service, now):
                return

    def request_permits(self, service, count):
        """Ask for permits for requests that wait, if cold endpoints need them.

        Parameters
        ----------
        service : str
            Service of the requests.
        count : int
            Requests that wait.
        """
        now = clock.monotonic()
        if self.has_leader() and self.cold.needs_permit(
            service, (), None, now
        ):
            self.cold.want_permits(service, count)
            self.schedule.request_loads()
