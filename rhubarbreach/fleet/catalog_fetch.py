"""Transfer of a configuration from a store to an entry host, in parts.

A configuration may take a second on the link of a small host. The exchange
with the leader has to go on meanwhile, as departures of endpoints, loads and
tokens come with it.
"""

import threading
import time
import zlib

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach import eventlog
from rhubarbreach.protocol import fleetmessages

__all__ = ['CatalogFetch', 'get_part', 'pack']

LOG = eventlog.Logger('catalog')

# Size of a part, which a link of 15 Mbit/s carries in 17 ms.
PART_BYTES = 32 * 1024
PART_TIMEOUT_SECONDS = 1.0
RETRY_INTERVAL_SECONDS = 0.05
# Names and keys repeat in a document; higher levels gain little.
COMPRESSION_LEVEL = 1
# Most bytes of a document; commands to the stores have fewer.
MAX_DOCUMENT_BYTES = 8 * 1024 * 1024


def pack(document):
    """Return a document as it is sent."""
    return zlib.compress(document, COMPRESSION_LEVEL)


def unpack(data):
    """Return the document that was packed.

    Raises
    ------
    ValueError
        If the data is not that of a whole document.
    """
    decompressor = zlib.decompressobj()
    try:
        document = decompressor.decompress(data, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        raise ValueError(str(error)) from error
    if not decompressor.eof:
        raise ValueError('the document is cut off or too large')
    return document


def get_part(version, packed, offset):
    """Return the `CatalogPart` that begins at an offset.

    Parameters
    ----------
    version : int
        Version of the document.
    packed : bytes
        Packed document.
    offset : int
        First byte of the part.
    """
    return fleetmessages.CatalogPart(
        version, len(packed), packed[offset : offset + PART_BYTES]
    )


class CatalogFetch:
    """Thread that fetches configurations from the leader.

    Parameters
    ----------
    link : Link
        Link to the stores.
    find_leader : callable
        Returns the store to ask, or None if none is known.
    apply : callable
        Called with each `CatalogCopy`, on the thread.
    """

    def __init__(self, link, find_leader, apply):
        self.link = link
        self.find_leader = find_leader
        self.apply = apply
        self.changed = threading.Condition()
        self.wanted_version = 0
        self.fetched_version = 0
        self.closed = False
        self.thread = None

    def request(self, version):
        """Fetch a version, or a later one, unless that was done."""
        with self.changed:
            if version <= self.wanted_version or self.closed:
                return
            self.wanted_version = version
            self.changed.notify()
            if self.thread is None:
                # Most hosts never need it.
                self.thread = threading.Thread(
                    target=self.run, name='catalog', daemon=True
                )
                self.thread.start()

    def run(self):
        """Fetch what is wanted until closed."""
        while True:
            with self.changed:
                while self.fetched_version >= self.wanted_version:
                    if self.closed:
                        return
                    self.changed.wait()
                if self.closed:
                    return
            copy = None
            try:
                copy = self.fetch()
                if copy is not None:
                    self.apply(copy)
                    self.fetched_version = copy.version
            except Exception:
                LOG.exception('event=catalog_fetch_failed')
            if copy is None:
                time.sleep(RETRY_INTERVAL_SECONDS)

    def fetch(self):
        """Return the `CatalogCopy` of the leader, or None if that fails."""
        store = self.find_leader()
        if store is None:
            return None
        started_at = clock.monotonic()
        version = self.wanted_version
        data = bytearray()
        while True:
            part = self.link.call(
                store,
                fleetmessages.CatalogPartCall(version, len(data)),
                clock.monotonic() + PART_TIMEOUT_SECONDS,
            ).result()
            if isinstance(part, codes.Refusal) or part.version < version:
                return None
            if part.version != version:
                # A later one has replaced it.
                version = part.version
                data.clear()
                continue
            data += part.data
            if len(data) >= part.size:
                break
        try:
            document = unpack(bytes(data))
        except ValueError as error:
            LOG.warning(
                'event=catalog_unreadable version={} reason={!r}',
                version,
                str(error),
            )
            return None
        LOG.info(
            'event=catalog_fetched version={} bytes={} packed={} '
            'seconds={:.3f}',
            version,
            len(document),
            len(data),
            clock.monotonic() - started_at,
        )
        return fleetmessages.CatalogCopy(version, document)

    def close(self):
        """Stop the thread."""
        with self.changed:
            self.closed = True
            self.changed.notify()
