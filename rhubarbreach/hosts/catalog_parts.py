"""Configuration of a store, as entry hosts fetch it in parts."""

import threading

from rhubarbreach.fleet import catalog_fetch
from rhubarbreach.protocol import fleetmessages

__all__ = ['CatalogParts']


class CatalogParts:
    """Packed copy of the newest configuration of the ledger.

    Parameters
    ----------
    ledger : Ledger
        Holds the document.
    """

    def __init__(self, ledger):
        self.ledger = ledger
        self.lock = threading.Lock()
        self.version = 0
        self.packed = b''

    def answer(self, _, message):
        """Answer the call of an entry host for a part."""
        version, document = self.ledger.get_catalog()
        if not version or version < message.version:
            return fleetmessages.CatalogPart(0, 0, b'')
        with self.lock:
            if version > self.version:
                self.packed = catalog_fetch.pack(document)
                self.version = version
            version, packed = self.version, self.packed
        offset = message.offset if version == message.version else 0
        return catalog_fetch.get_part(version, packed, offset)
