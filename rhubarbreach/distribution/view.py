"""Configuration that is in effect on a host, and how long it may be used."""

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
    'CONFIG_VALIDITY',
    'ConfigView',
    'Identity',
    'Outcome',
    'Update',
    'find_lost_keys',
    'get_digest',
]

LOG = logbook.Logger('distribution')

# Seconds for which a confirmed configuration may be used. With the time to
# commit a revocation this stays below the 3 s within which a key stops.
CONFIG_VALIDITY = 2.0
STALE_RETRY_AFTER = 1.0
NEVER = float('-inf')


class Outcome(enum.StrEnum):
    """What a reply of an upstream did to the view."""

    RENEWED = 'renewed'
    PARTIAL = 'partial'
    FETCH = 'fetch'
    STALE = 'stale'


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Client account and key that a caller's key belongs to."""

    account_id: str
    key_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Update:
    """Replacement of the configuration.

    `changes` are data classes of `rhubarbreach.state.model`, or None when
    the whole configuration was replaced.
    """

    before: state_config.Config
    config: state_config.Config
    changes: tuple | None


def get_digest(key):
    """Return the SHA-256 digest of a key given as text."""
    return hashlib.sha256(key.encode('utf-8', 'surrogateescape')).digest()


def find_lost_keys(update):
    """Return the ids of keys that worked before an update and do not now.

    Parameters
    ----------
    update : Update
        As passed to a subscriber.

    Returns
    -------
    tuple of str
        Key ids, so that streams of their callers can be stopped.
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
    """The configuration of this host.

    Attributes
    ----------
    snapshot : Config
        Frozen; replaced as a whole, never by an older revision.
    valid_until : float
        Deadline on the monotonic clock up to which keys may be accepted.

    Parameters
    ----------
    revision_file : RevisionFile, optional
        Remembers the revision over a restart where the host has a disk.
    """

    def __init__(self, revision_file=None):
        self.snapshot = state_config.Config()
        self.history = state_config.History(0)
        self.valid_until = NEVER
        self.revision_file = revision_file
        self.least_revision = revision_file.revision if revision_file else 0
        self.subscribers = []
        self.renewed = []
        self.lock = threading.RLock()

    @property
    def revision(self):
        """Revision of the snapshot."""
        return self.snapshot.revision

    @property
    def ready(self):
        """Whether the configuration was ever confirmed on this host.

        Open routes are served from then on, also past the validity.
        """
        return self.valid_until != NEVER

    def subscribe(self, function):
        """Call a function with an `Update` after each replacement.

        It runs on the task that applied the change and must not block.
        """
        self.subscribers.append(function)

    def subscribe_renewal(self, function):
        """Call a function without arguments after each renewal."""
        self.renewed.append(function)

    def is_valid(self, now):
        """Return whether the configuration was confirmed recently enough."""
        return now < self.valid_until

    def authenticate(self, key, now):
        """Return whose key this is.

        Parameters
        ----------
        key : str
            Key as the caller presented it.
        now : float
            Seconds of the monotonic clock.

        Returns
        -------
        Identity or Refusal
            KEY_MISSING, KEY_UNKNOWN, KEY_REVOKED, or CONFIG_STALE when this
            host cannot tell whether the key still works.
        """
        if not key:
            return codes.Refusal(
                codes.ResultCode.KEY_MISSING, 'the request has no key'
            )
        config, valid_until = self.snapshot, self.valid_until
        digest = get_digest(key)
        found = config.find_key(digest)
        known = found is not None and hmac.compare_digest(found.digest, digest)
        if known and found.revoked:
            return codes.Refusal(
                codes.ResultCode.KEY_REVOKED, 'the key has been revoked'
            )
        account_id = found.account_id if known else ''
        if now >= get_deadline(config, account_id, valid_until):
            return codes.Refusal(
                codes.ResultCode.CONFIG_STALE,
                'this host cannot confirm keys at present',
                retry_after=STALE_RETRY_AFTER,
            )
        if not known:
            return codes.Refusal(
                codes.ResultCode.KEY_UNKNOWN, 'the key is not known'
            )
        return Identity(found.account_id, found.key_id)

    def adopt(self, config, changes):
        """Replace the snapshot if the revision is newer.

        Parameters
        ----------
        config : Config
            Newer configuration.
        changes : tuple of bytes or None
            Encoded changes from the revision of the snapshot to that of
            `config`; None when they are not known.

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
            self.record(config.revision, changes)
            self.snapshot = config
        decoded = None
        if changes is not None:
            decoded = tuple(model.CHANGES.decode(data) for data in changes)
        update = Update(before, config, decoded)
        for function in self.subscribers:
            call_safely(function, update)
        return True

    def record(self, revision, changes):
        """Keep changes for hosts that use this one as their upstream."""
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
            Revision that was confirmed to be the newest.
        valid_until : float
            Deadline on the monotonic clock.

        Returns
        -------
        bool
            Whether the deadline was moved.
        """
        with self.lock:
            if not self.least_revision <= revision <= self.revision:
                return False
            if valid_until <= self.valid_until:
                return False
            self.valid_until = valid_until
        for function in self.renewed:
            call_safely(function)
        return True

    def accept_reply(self, polled_revision, sent_at, reply):
        """Apply the reply to a poll.

        Parameters
        ----------
        polled_revision : int
            Revision that the poll stated.
        sent_at : float
            When the poll was sent, on the monotonic clock.
        reply : ConfigReply
            Answer of the upstream.

        Returns
        -------
        Outcome
            What to do next.

        Notes
        -----
        The validity counts from `sent_at`: the upstream confirmed its view
        after that moment, however long the reply took.
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
        seconds = min(reply.validity, CONFIG_VALIDITY)
        until = sent_at + seconds * (1 - clock.MAX_DRIFT)
        self.renew(reply.revision, until)
        return Outcome.RENEWED

    def apply_changes(self, polled_revision, reply):
        """Apply the changes of a reply that this view does not have yet."""
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
        self.adopt(config, missing)
        return True


def get_deadline(config, account_id, valid_until):
    """Return until when an account's keys may be accepted.

    Parameters
    ----------
    config : Config
        Configuration in effect.
    account_id : str
        Account, empty when the key is not known.
    valid_until : float
        Deadline of the configuration.

    Returns
    -------
    float
        Deadline on the monotonic clock.
    """
    account = config.get_account(account_id)
    if account is None:
        return valid_until
    extra = account.stale_key_bound - CONFIG_VALIDITY
    return valid_until + max(0.0, extra) * (1 - clock.MAX_DRIFT)


def call_safely(function, *arguments):
    """Call a subscriber; its faults must not stop the distribution."""
    try:
        function(*arguments)
    except Exception:
        LOG.exception('event=subscriber_failed')
