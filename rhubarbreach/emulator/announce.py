"""Announcement of an endpoint to the entry hosts."""

import http.client
import threading
import time

import logbook
import msgspec

__all__ = ['Announcer']

LOG = logbook.Logger('announcer')

PERIOD_SECONDS = 1.0
TIMEOUT_SECONDS = 2.0


class Announcer:
    """Task that posts the state of an endpoint every second.

    Parameters
    ----------
    addresses : tuple of str
        `IP:port` of entry hosts; the first that answers is enough.
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
        """Announce until closed."""
        while not self.closed:
            self.announce()
            self.wake.wait(PERIOD_SECONDS)
            self.wake.clear()

    def announce(self):
        """Post to the first entry host that accepts."""
        self.sequence += 1
        announcement = self.make_announcement()
        announcement['sequence'] = self.sequence
        announcement['at'] = time.time()
        body = msgspec.json.encode(announcement)
        for address in list(self.addresses):
            if self.post(address, body):
                return
            # The next announcement starts with another host.
            self.addresses.append(self.addresses.pop(0))

    def post(self, address, body):
        """Post a body; return whether it was accepted."""
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
        """Announce at once, such as when draining begins."""
        self.wake.set()

    def close(self):
        """Stop announcing."""
        self.closed = True
        self.wake.set()
