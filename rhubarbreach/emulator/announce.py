"""Periodic announcement of an endpoint to the entry hosts."""

import http.client
import threading
import time

import logbook
import msgspec

__all__ = ['Announcer']

LOG = logbook.Logger('announcer')

INTERVAL_SECONDS = 1.0
TIMEOUT_SECONDS = 2.0


class Announcer:
    """Background thread that announces an endpoint once a second.

    Parameters
    ----------
    addresses : tuple of str
        `IP:port` of entry hosts. Each announcement goes to one of them: the
        next is tried only if a host does not accept it.
    make_announcement : callable
        Returns the announcement as a dict.
    """

    def __init__(self, addresses, make_announcement):
        self.addresses = list(addresses)
        self.make_announcement = make_announcement
        self.wake = threading.Event()
        self.closed = False
        self.sequence = 0
        self.thread = threading.Thread(
            target=self.run, name='announcer', daemon=True
        )
        self.thread.start()

    def run(self):
        """Announce at each interval until closed."""
        while not self.closed:
            self.announce()
            self.wake.wait(INTERVAL_SECONDS)
            self.wake.clear()

    def announce(self):
        """Post one announcement to the first entry host that accepts it."""
        self.sequence += 1
        announcement = self.make_announcement()
        announcement['sequence'] = self.sequence
        announcement['at'] = time.time()
        body = msgspec.json.encode(announcement)
        for address in list(self.addresses):
            if self.post(address, body):
                return
            # Later announcements try this host last.
            self.addresses.append(self.addresses.pop(0))

    def post(self, address, body):
        """Post an announcement; return whether the host accepted it."""
        connection = http.client.HTTPConnection(
            address, timeout=TIMEOUT_SECONDS
        )
        try:
            connection.request(
                'POST',
                '/internal/announce',
                body,
                {'Content-Type': 'application/json'},
            )
            response = connection.getresponse()
            response.read()
        except (OSError, http.client.HTTPException) as error:
            LOG.debug('event=announce_failed error={!r}', str(error))
            return False
        finally:
            connection.close()
        return response.status == http.HTTPStatus.OK

    def announce_now(self):
        """Announce without waiting for the interval to end."""
        self.wake.set()

    def close(self):
        """Stop announcing."""
        self.closed = True
        self.wake.set()
