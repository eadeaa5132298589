"""Base of the operator commands."""

from rhubarbreach.operators import operators_pb2

__all__ = ['Calls', 'merge', 'split']


def merge(current, given, defaults):
    """Return fields: those given, else the current ones, else defaults.

    Parameters
    ----------
    current : object or None
        Message with the present values.
    given : dict
        Options of the command; None where left out.
    defaults : dict
        Values for a new member.
    """
    fields = {}
    for name, value in given.items():
        if value is None and current is not None:
            value = getattr(current, name)
        elif value is None:
            value = defaults[name]
        fields[name] = value
    return fields


def split(names):
    """Return the names of an option that takes several."""
    if names is None:
        return None
    if isinstance(names, (list, tuple)):
        return [str(name) for name in names]
    return [part for part in str(names).split(',') if part]


class Calls:
    """Calls over the session in `_session`.

    The session is private, since fire offers each public attribute as a
    command.
    """

    def _find(self, name, field, wanted):
        """Return the member with an id, or None, and the revision."""
        request = operators_pb2.ListRequest(id=str(wanted))
        reply = self._session.call(name, request)
        rows = getattr(reply, field)
        return (rows[0] if rows else None), reply.revision

    def _remove(self, name, wanted):
        """Send a call that takes an id."""
        header = self._session.make_header()
        request = operators_pb2.RemoveRequest(change=header, id=str(wanted))
        self._session.change(name, request)
