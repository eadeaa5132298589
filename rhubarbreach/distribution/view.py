"""Configuration in effect on a host and its validity."""

import dataclasses
import enum
import hashlib
import hmac
import threading

import logbook

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach import exceptions
from rhubarbreach.state import changes as state_changes
from rhubarbreach.state import config as state_config
from rhubarbreach.state import model

__all__ = [
    'CONFIG_VALIDITY_SECONDS',
    'ConfigView',
    'Identity',
    'Outcome',
    'Update',
    'find_invalidated_keys',
    'get_digest',
]

LOG = logbook.Logger('distribution')

# Seconds for which a confirmed configuration may be used. A revoked key must
# stop working within 3 s, including the time to commit the revocation.
CONFIG_VALIDITY_SECONDS = 2.0
STALE_RETRY_AFTER_SECONDS = 1.0
NEVER = float('-inf')


class Outcome(enum.StrEnum):
    """Outcome of applying the reply of an upstream to the view.

    `RENEWED` extends the validity, after `PARTIAL` more changes follow,
    `FETCH` calls for the whole configuration, and a `STALE` upstream cannot
    extend the validity.
    """

    RENEWED = 'renewed'
    PARTIAL = 'partial'
    FETCH = 'fetch'
    STALE = 'stale'


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Client account and id of the key that a caller presented."""

    account_id: str
    key_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Update:
    """Replacement of the configuration.

    `changes` are data classes of `rhubarbreach.state.model`, or None if the
    whole configuration was replaced.
    """

    before: state_config.Config
    config: state_config.Config
    changes: tuple | None


def get_digest(key):
    """Return the SHA-256 digest of a key."""
    return hashlib.sha256(key.encode('utf-8', 'surrogateescape')).digest()


def find_invalidated_keys(update):
    """Return the ids of the keys that an update invalidates.

    Parameters
    ----------
    update : Update
        Update as passed to a subscriber.

    Returns
    -------
    tuple of str
        Key ids. Subscribers stop the streams of their callers.
    """
    key_ids = set()
    if update.changes is None:
        key_ids.update(key.key_id for key in update.before.keys)
    for change in update.changes or ():
        match change:
            case model.RevokeKey(key_id):
                key_ids.add(key_id)
            case model.RemoveAccount(account_id):
                key_ids.update(update.before.account_keys.get(account_id, ()))
    return tuple(
        key_id
        for key_id in sorted(key_ids)
        if is_usable(update.before, key_id)
        and not is_usable(update.config, key_id)
    )


def is_usable(config, key_id):
    """Return whether a key exists and is not revoked."""
    key = config.get_key(key_id)
    return key is not None and not key.revoked


class ConfigView:
    """View of the configuration on this host.

    Attributes
    ----------
    snapshot : Config
        Immutable configuration. It is replaced as a whole and never by an
        older revision.
    valid_until : float
        Monotonic deadline up to which keys may be accepted.

    Parameters
    ----------
    revision_file : RevisionFile, optional
        File that keeps the revision over a restart, on a host with a disk.
    """

    def __init__(self, revision_file=None):
        self.snapshot = state_config.Config()
        self.history = state_config.History(0)
        self.valid_until = NEVER
        self.revision_file = revision_file
        self.least_revision = revision_file.revision if revision_file else 0
        self.subscribers = []
        self.renewal_subscribers = []
        self.lock = threading.RLock()

    @property
    def revision(self):
        """Revision of the snapshot."""
        return self.snapshot.revision

    @property
    def ready(self):
        """Whether the configuration was ever confirmed on this host.

        Public routes are served from then on, even if the validity expires.
        """
        return self.valid_until != NEVER

    def subscribe(self, function):
        """Call a function with an `Update` after each replacement.

        The function runs in the thread that applied the change and must not
        block.
        """
        self.subscribers.append(function)

    def subscribe_renewal(self, function):
        """Call a function without arguments after each renewal."""
        self.renewal_subscribers.append(function)

    def is_valid(self, now):
        """Return whether the validity has not expired."""
        return now < self.valid_until

    def authenticate(self, key, now):
        """Authenticate a caller by its key.

        Parameters
        ----------
        key : str
            Key as presented by the caller.
        now : float
            Monotonic seconds.

        Returns
        -------
        Identity or Refusal
            KEY_MISSING, KEY_UNKNOWN, KEY_REVOKED, or CONFIG_STALE if this
            host cannot confirm that the key is still valid.
        """
        if not key:
            return codes.Refusal(
                codes.ResultCode.KEY_MISSING, 'the request has no key'
            )
        config, valid_until = self.snapshot, self.valid_until
        digest = get_digest(key)
        entry = config.find_key(digest)
        is_known = entry is not None and hmac.compare_digest(
            entry.digest, digest
        )
        if is_known and entry.revoked:
            return codes.Refusal(
                codes.ResultCode.KEY_REVOKED, 'the key has been revoked'
            )
        account_id = entry.account_id if is_known else ''
        if now >= get_deadline(config, account_id, valid_until):
            return codes.Refusal(
                codes.ResultCode.CONFIG_STALE,
                'this host cannot confirm keys: its configuration is stale',
                retry_after=STALE_RETRY_AFTER_SECONDS,
            )
        if not is_known:
            return codes.Refusal(
                codes.ResultCode.KEY_UNKNOWN, 'the key is not known'
            )
        return Identity(entry.account_id, entry.key_id)

    def replace_snapshot(self, config, changes):
        """Replace the snapshot if the revision is newer.

        Parameters
        ----------
        config : Config
            Newer configuration.
        changes : tuple of bytes or None
            Encoded changes from the revision of the snapshot to that of
            `config`, None if unknown.

        Returns
        -------
        bool
            Whether the snapshot was replaced.
        """
        with self.lock:
            before = self.snapshot
            if config.revision <= before.revision:
                return False
            if self.revision_file is not None:
                self.revision_file.write(config.revision)
            self.extend_history(config.revision, changes)
            self.snapshot = config
        decoded = None
        if changes is not None:
            decoded = tuple(model.CHANGES.decode(data) for data in changes)
        update = Update(before, config, decoded)
        for function in self.subscribers:
            call_safely(function, update)
        return True

    def extend_history(self, revision, changes):
        """Add changes to the history that is served to polling hosts."""
        if changes is None:
            self.history = state_config.History(revision)
            return
        for change in changes:
            self.history.add(change)

    def renew(self, revision, valid_until):
        """Extend the validity of the snapshot.

        Parameters
        ----------
        revision : int
            Revision that was confirmed as the latest one.
        valid_until : float
            Monotonic deadline.

        Returns
        -------
        bool
            Whether the deadline was extended.
        """
        with self.lock:
            if not self.least_revision <= revision <= self.revision:
                return False
            if valid_until <= self.valid_until:
                return False
            self.valid_until = valid_until
        for function in self.renewal_subscribers:
            call_safely(function)
        return True

    def accept_reply(self, polled_revision, sent_at, reply):
        """Apply the reply to a poll.

        Parameters
        ----------
        polled_revision : int
            Revision that the poll stated.
        sent_at : float
            Monotonic time at which the poll was sent.
        reply : ConfigReply
            Reply of the upstream.

        Returns
        -------
        Outcome
            Effect of the reply, which decides the next step of the poller.

        Notes
        -----
        The validity counts from `sent_at`, since the upstream confirmed its
        view after that time, however long the reply was in flight.
        """
        if reply.revision < max(polled_revision, self.least_revision):
            return Outcome.STALE
        if reply.snapshot is not None:
            return Outcome.FETCH
        with self.lock:
            if not self.apply_changes(polled_revision, reply):
                return Outcome.FETCH
        if reply.changes and not reply.validity:
            return Outcome.PARTIAL
        if reply.validity <= 0:
            return Outcome.STALE
        seconds = min(reply.validity, CONFIG_VALIDITY_SECONDS)
        valid_until = sent_at + seconds * (1 - clock.MAX_DRIFT)
        self.renew(reply.revision, valid_until)
        return Outcome.RENEWED

    def apply_changes(self, polled_revision, reply):
        """Apply the changes of a reply that are missing in this view.

        Returns
        -------
        bool
            Whether the changes were applied or none were missing. False calls
            for the whole configuration.
        """
        config = self.snapshot
        missing = reply.changes[config.revision - polled_revision :]
        if config.revision < polled_revision:
            return False
        try:
            for data in missing:
                change = model.CHANGES.decode(data)
                config = state_changes.apply_change(config, change)
                if isinstance(config, codes.Refusal):
                    LOG.error('event=change_refused reason={!r}', config)
                    return False
        except exceptions.MessageError as error:
            LOG.error('event=change_malformed reason={!r}', str(error))
            return False
        self.replace_snapshot(config, missing)
        return True


def get_deadline(config, account_id, valid_until):
    """Return the deadline up to which an account's keys may be accepted.

    Parameters
    ----------
    config : Config
        Configuration in effect.
    account_id : str
        Account, empty if the key is unknown.
    valid_until : float
        Monotonic deadline of the configuration.

    Returns
    -------
    float
        Monotonic deadline.
    """
    account = config.get_account(account_id)
    if account is None:
        return valid_until
    grace = account.stale_key_bound - CONFIG_VALIDITY_SECONDS
    return valid_until + max(0.0, grace) * (1 - clock.MAX_DRIFT)


def call_safely(function, *arguments):
    """Call a subscriber and log its exceptions.

    A faulty subscriber must not stop the distribution.
    """
    try:
        function(*arguments)
    except Exception:
        LOG.exception('event=subscriber_failed')
