"""Request records of the store as the entry package calls them."""

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.dispatch import call as call_module
from rhubarbreach.entry import records as entry_records

__all__ = ['EntryRecords']

READ_TIMEOUT = 2.0


class EntryRecords:
    """Adapter between the entry package and the replicated records.

    Parameters
    ----------
    records : batch.records.Records
        Client of the group of request records.
    """

    def __init__(self, records):
        self.records = records

    def reserve(self, account_id, key, fingerprint, deadline):
        """Reserve a request or return the end of its first run."""
        found = self.records.reserve(account_id, key, fingerprint, deadline)
        match found:
            case call_module.CallResult():
                return make_completed(found)
            case codes.Refusal():
                return found
        return entry_records.Reserved(found)

    def complete(self, account_id, key, token, completed, deadline):
        """Store the answer of a reserved request."""
        result = call_module.CallResult(
            completed.status,
            completed.content_type,
            completed.body,
            endpoint_id='',
            attempts=0,
        )
        return self.records.complete(token, result)

    def abandon(self, account_id, key, token):
        """Free the key of a request that did not run."""
        return self.records.abandon(token)

    def mark_unknown(self, account_id, key, token):
        """End a reservation whose outcome is unknown."""
        refusal = codes.Refusal(
            codes.ResultCode.OUTCOME_UNKNOWN,
            'the outcome of the request is not known',
            codes.Ran.UNKNOWN,
        )
        return self.records.complete(token, refusal)

    def get(self, account_id, key):
        """Return the state of a recorded request."""
        deadline = clock.monotonic() + READ_TIMEOUT
        found = self.records.get(account_id, key, deadline)
        match found:
            case None:
                return entry_records.Running()
            case call_module.CallResult():
                return make_completed(found)
        return found


def make_completed(result):
    """Return the recorded answer of a result."""
    return entry_records.Completed(
        result.status, result.content_type, result.body
    )
