"""Base class and helpers of the operator commands."""

from rhubarbreach.operators import operators_pb2

__all__ = ['Calls', 'merge', 'split']


def merge(current, given, defaults):
    """Return the given fields, completed by current or default values.

    Parameters
    ----------
    current : object or None
        Message with the current values; None if the object does not exist.
    given : dict
        Options of the command; None for an omitted option.
    defaults : dict
        Values for a new object.
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
    """Return the names in a comma-separated option, or None if omitted."""
    if names is None:
        return None
    if isinstance(names, (list, tuple)):
        return [str(name) for name in names]
    return [part for part in str(names).split(',') if part]


class Calls:
    """Base class of commands that use the session in `_session`.

    The session is private because fire exposes each public attribute as a
    command.
    """

    def _find(self, name, field, object_id):
        """Return the object with an id, or None, and the revision."""
        request = operators_pb2.ListRequest(id=str(object_id))
        reply = self._session.call(name, request)
        rows = getattr(reply, field)
        return (rows[0] if rows else None), reply.revision

    def _remove(self, name, object_id):
        """Send a change whose request holds only an id."""
        header = self._session.make_header()
        request = operators_pb2.RemoveRequest(change=header, id=str(object_id))
        self._session.change(name, request)
