"""Durable state of one replica: log, term, vote and snapshot."""

import pathlib

import msgspec

from rhubarbreach.consensus import model
from rhubarbreach import exceptions
from rhubarbreach.protocol import logmessages
from rhubarbreach.storage import files
from rhubarbreach.storage import folder
from rhubarbreach.storage import segments

__all__ = ['Store', 'decode_members', 'encode_members']

VOTE_NAME = 'vote'
SNAPSHOT_NAME = 'snapshot'
PREPARED_NAME = 'snapshot.prepared'
FORMATION_NAME = 'formation'
LOG_NAME = 'log'
ENCODER = msgspec.msgpack.Encoder()
BATCH_DECODER = msgspec.msgpack.Decoder(list[tuple[int, int, str, bytes]])
VOTE_DECODER = msgspec.msgpack.Decoder(tuple[int, str])
MEMBERS_DECODER = msgspec.msgpack.Decoder(tuple[logmessages.Member, ...])
FORMATION_DECODER = msgspec.msgpack.Decoder(
    tuple[bool, tuple[logmessages.Member, ...]]
)


class SnapshotFile(msgspec.Struct, frozen=True, array_like=True):
    """Snapshot as stored."""

    last_index: int
    last_term: int
    members_index: int
    members: tuple[logmessages.Member, ...]
    data: bytes


SNAPSHOT_DECODER = msgspec.msgpack.Decoder(SnapshotFile)


def encode_members(members):
    """Return the MessagePack of members."""
    return ENCODER.encode(members)


def decode_members(data):
    """Return the members of their MessagePack."""
    return MEMBERS_DECODER.decode(data)


def encode_snapshot(snapshot):
    """Return the content of a snapshot file."""
    return ENCODER.encode(
        SnapshotFile(
            snapshot.last_index,
            snapshot.last_term,
            snapshot.members_index,
            snapshot.members,
            snapshot.data,
        )
    )


class Store:
    """Log, term, vote and snapshot of one replica.

    Parameters
    ----------
    path : str or pathlib.Path
        Folder of the group on this host.
    kept_entries : int
        Entries kept in memory behind a snapshot, so that a replica that is
        a little behind needs no snapshot.
    kept_bytes : int
        Bound on the size of these entries, 0 for none.

    Raises
    ------
    CorruptLogError
        If what was synced cannot be read.
    DataFolderError
        If the folder cannot be used.
    """

    def __init__(self, path, kept_entries=0, kept_bytes=0):
        self.path = pathlib.Path(path)
        self.kept_entries = kept_entries
        self.kept_bytes = kept_bytes
        self.folder = folder.DataFolder(path)
        self.store_id = self.folder.store_id
        self.term = 0
        self.vote = ''
        self.formed = False
        self.initial = ()
        self.snapshot = model.Snapshot(0, 0, 0, (), b'')
        self.base_index = 0
        self.base_term = 0
        self.entries = []
        self.member_changes = []
        # First and last index of the entries in each segment.
        self.segment_ends = {}
        self.log = None
        try:
            self.load()
        except BaseException:
            self.close()
            raise
        self.synced_index = self.last_index

    def load(self):
        """Read all files."""
        data = files.read_file(self.path / VOTE_NAME)
        if data is not None:
            self.term, self.vote = VOTE_DECODER.decode(data)
        data = files.read_file(self.path / FORMATION_NAME)
        if data is not None:
            self.formed, self.initial = FORMATION_DECODER.decode(data)
        data = files.read_file(self.path / SNAPSHOT_NAME)
        if data is not None:
            stored = SNAPSHOT_DECODER.decode(data)
            self.snapshot = model.Snapshot(
                stored.last_index,
                stored.last_term,
                stored.members_index,
                stored.members,
                stored.data,
            )
        self.base_index = self.snapshot.last_index
        self.base_term = self.snapshot.last_term
        self.log = segments.SegmentLog(self.path / LOG_NAME)
        self.load_entries()

    def load_entries(self):
        """Rebuild the entries from the records of the log."""
        entries = []
        for number, payload in self.log.payloads:
            batch = [
                logmessages.LogEntry(*fields)
                for fields in BATCH_DECODER.decode(payload)
            ]
            self.segment_ends[number] = max(
                self.segment_ends.get(number, 0), batch[-1].index
            )
            first = batch[0].index
            if entries and first <= entries[0].index:
                entries = []
            if entries:
                del entries[first - entries[0].index :]
            if entries and first != entries[-1].index + 1:
                # Only an installed snapshot lets the log skip indexes.
                if first > self.base_index + 1:
                    raise exceptions.CorruptLogError('log has a gap')
                entries = []
            entries.extend(batch)
        self.log.payloads = []
        self.entries = self.drop_covered(entries)
        if self.entries and self.entries[0].index != self.base_index + 1:
            raise exceptions.CorruptLogError('log and snapshot have a gap')
        self.rebuild_members()

    def drop_covered(self, entries):
        """Return the entries that follow the snapshot."""
        covered = [e for e in entries if e.index <= self.base_index]
        if (
            covered
            and covered[-1].index == self.base_index
            and covered[-1].term != self.base_term
        ):
            # The snapshot came from a leader whose log replaced this one.
            self.drop_segments()
            return []
        return entries[len(covered) :]

    def rebuild_members(self):
        """Collect the changes of the members from the log."""
        self.member_changes = [
            (entry.index, decode_members(entry.data))
            for entry in self.entries
            if entry.kind == model.ENTRY_MEMBERS
        ]

    @property
    def last_index(self):
        """Index of the last entry."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self):
        """Term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    @property
    def members(self):
        """Members by the latest change in the log."""
        if self.member_changes:
            return self.member_changes[-1][1]
        if self.snapshot.last_index:
            return self.snapshot.members
        return self.initial if self.formed else ()

    @property
    def members_index(self):
        """Index of the latest change of the members."""
        if self.member_changes:
            return self.member_changes[-1][0]
        return self.snapshot.members_index

    def get_members_at(self, index):
        """Return index and members that were in effect at an index."""
        for changed, members in reversed(self.member_changes):
            if changed <= index:
                return changed, members
        if self.snapshot.last_index:
            return self.snapshot.members_index, self.snapshot.members
        return 0, self.initial

    def get_term(self, index):
        """Return the term of an entry, None when it is not held."""
        if index == self.base_index:
            return self.base_term
        offset = index - self.base_index - 1
        if 0 <= offset < len(self.entries):
            return self.entries[offset].term
        return None

    def get_entries(self, first, max_entries):
        """Return entries from an index on."""
        offset = first - self.base_index - 1
        return self.entries[offset : offset + max_entries]

    def save_vote(self, term, vote):
        """Persist term and vote before they have any effect."""
        if (term, vote) == (self.term, self.vote):
            return
        files.replace_file(self.path / VOTE_NAME, ENCODER.encode((term, vote)))
        self.term, self.vote = term, vote

    def save_formation(self, formed, members):
        """Persist the identities of the initial voters."""
        files.replace_file(
            self.path / FORMATION_NAME, ENCODER.encode((formed, members))
        )
        self.formed, self.initial = formed, members

    def append(self, entries):
        """Write entries that replace all from their first index on.

        Raises
        ------
        DiskFullError
            If the disk is full; nothing has changed.
        """
        payload = ENCODER.encode(
            [(e.index, e.term, e.kind, e.data) for e in entries]
        )
        number = self.log.append(payload)
        first = entries[0].index
        if first <= self.last_index:
            del self.entries[first - self.base_index - 1 :]
            self.synced_index = min(self.synced_index, first - 1)
            while self.member_changes and self.member_changes[-1][0] >= first:
                self.member_changes.pop()
        self.entries.extend(entries)
        self.segment_ends[number] = max(
            self.segment_ends.get(number, 0), entries[-1].index
        )
        for entry in entries:
            if entry.kind == model.ENTRY_MEMBERS:
                self.member_changes.append(
                    (entry.index, decode_members(entry.data))
                )

    @property
    def is_synced(self):
        """Whether all entries are durable."""
        return self.log.is_synced

    def sync(self):
        """Make the entries durable."""
        self.log.sync()

    def prepare_snapshot(self, snapshot):
        """Write a snapshot, which may take long, beside the present one.

        The only function that another task than the group's may call.
        """
        files.write_file(self.path / PREPARED_NAME, encode_snapshot(snapshot))

    def publish_snapshot(self, snapshot):
        """Take the prepared snapshot into use and trim the log."""
        if snapshot.last_index <= self.snapshot.last_index:
            return
        files.publish_file(
            self.path / PREPARED_NAME, self.path / SNAPSHOT_NAME
        )
        self.snapshot = snapshot
        first = self.find_kept(snapshot.last_index)
        if first > self.base_index:
            term = self.get_term(first)
            del self.entries[: first - self.base_index]
            self.base_index, self.base_term = first, term
        self.member_changes = [
            change
            for change in self.member_changes
            if change[0] > snapshot.last_index
        ]
        self.trim_segments()

    def find_kept(self, last):
        """Return the index behind which entries stay beside a snapshot."""
        first = max(self.base_index, last - self.kept_entries)
        if not self.kept_bytes:
            return first
        size = 0
        kept = self.entries[: last - self.base_index]
        for entry in reversed(kept):
            size += len(entry.data)
            if size > self.kept_bytes:
                return max(first, entry.index)
        return first

    def install_snapshot(self, snapshot):
        """Persist a snapshot of the leader in place of this log."""
        files.replace_file(
            self.path / SNAPSHOT_NAME, encode_snapshot(snapshot)
        )
        keep = self.get_term(snapshot.last_index) == snapshot.last_term
        if keep:
            del self.entries[: snapshot.last_index - self.base_index]
        else:
            self.entries = []
        self.snapshot = snapshot
        self.base_index = snapshot.last_index
        self.base_term = snapshot.last_term
        self.synced_index = max(self.synced_index, self.base_index)
        if not keep:
            self.synced_index = self.base_index
            self.drop_segments()
        self.rebuild_members()
        self.trim_segments()

    def drop_segments(self):
        """Delete the whole log, which a snapshot has replaced.

        Entries that are appended later would otherwise be taken for a part
        of the replaced log when the store is opened again.
        """
        self.log.roll()
        self.log.remove_before(self.log.number)
        self.segment_ends = {}

    def trim_segments(self):
        """Start a new segment and delete those that are not needed."""
        self.log.roll()
        self.synced_index = self.last_index
        needed = self.log.number
        for number in reversed(self.log.numbers[:-1]):
            if self.segment_ends.get(number, 0) > self.snapshot.last_index:
                needed = number
        self.log.remove_before(needed)
        self.segment_ends = {
            number: end
            for number, end in self.segment_ends.items()
            if number >= needed
        }

    def close(self):
        """Close all files and release the folder."""
        if self.log is not None:
            self.log.close()
        self.folder.close()
