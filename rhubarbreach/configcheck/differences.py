"""Differences between a configuration and the one in force."""

import dataclasses
import hashlib

__all__ = ['Contents', 'Difference', 'find_differences', 'hide_secret']

DIGEST_CHARACTERS = 12


@dataclasses.dataclass(frozen=True, slots=True)
class Contents:
    """Contents of a configuration that are compared.

    Parameters
    ----------
    entries : dict of tuple of str to dict
        Fields of each entry by its kind and key.
    version : int or None
        Version that an operator gave to the whole.
    """

    entries: dict
    version: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Values:
    """Old and new value of a field; None where there is none."""

    old: object
    new: object


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """A difference in one entry.

    Parameters
    ----------
    change : str
        `added`, `removed` or `changed`.
    kind, key : str
        Kind of the entry, and what identifies it among those of its kind.
    fields : dict of str to Values
        Values of each field that differs.
    """

    change: str
    kind: str
    key: str
    fields: dict


def hide_secret(secret):
    """Return a text that tells secrets apart and does not reveal them."""
    digest = hashlib.sha256(secret.encode('utf-8', 'surrogatepass'))
    return f'sha256:{digest.hexdigest()[:DIGEST_CHARACTERS]}'


def find_differences(old, new):
    """Return the differences between the entries of two configurations.

    Parameters
    ----------
    old, new : Contents
        Version in force, and the one to compare with it.

    Returns
    -------
    list of Difference
        Differences in the order of the old entries, then added ones.
    """
    found = []
    for (kind, key), old_fields in old.entries.items():
        new_fields = new.entries.get((kind, key))
        change = 'changed' if new_fields is not None else 'removed'
        fields = compare(old_fields, new_fields or {})
        if fields or new_fields is None:
            found.append(Difference(change, kind, key, fields))
    for (kind, key), new_fields in new.entries.items():
        if (kind, key) not in old.entries:
            fields = compare({}, new_fields)
            found.append(Difference('added', kind, key, fields))
    return found


def compare(old, new):
    """Return the `Values` of the fields that differ."""
    return {
        name: Values(old.get(name), new.get(name))
        for name in {**old, **new}
        if old.get(name) != new.get(name)
    }
