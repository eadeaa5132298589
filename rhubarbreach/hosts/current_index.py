"""Index of the configuration that the ledger holds."""

from rhubarbreach.catalog import index as indexes
from rhubarbreach import eventlog
from rhubarbreach import exceptions

__all__ = ['CurrentIndex']

LOG = eventlog.Logger('catalog')


class CurrentIndex:
    """Index of the newest committed configuration that can be read.

    Parameters
    ----------
    ledger : Ledger
        Holds the committed document.
    decode_catalog : callable
        Returns the `Catalog` for a document of an operator.
    """

    def __init__(self, ledger, decode_catalog):
        self.ledger = ledger
        self.decode_catalog = decode_catalog
        self.index = None
        self.version = 0

    def get(self):
        """Return the index, or None without a configuration.

        A document that cannot be read leaves the previous index, as an
        earlier build may have accepted it.
        """
        version, document = self.ledger.get_catalog()
        if version == self.version:
            return self.index
        try:
            self.index = indexes.Index(self.decode_catalog(document))
        except exceptions.MessageError as error:
            LOG.error(
                'event=catalog_unreadable version={} reason={!r}',
                version,
                str(error),
            )
        self.version = version
        return self.index
