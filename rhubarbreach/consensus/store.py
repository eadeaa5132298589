"""Durable state of one replica: log, term, vote and snapshot."""

import dataclasses
import pathlib
import struct

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
    """Content of a snapshot file; `data` is encoded as a binary string."""

    last_index: int
    last_term: int
    members_index: int
    members: tuple[logmessages.Member, ...]
    data: msgspec.Raw


# Format of a binary string in MessagePack: its type, its length, its bytes.
BINARY_HEADER = struct.Struct('>BI')
BINARY_TYPE = 0xC6
# Bytes of the header by type. Earlier releases used the shortest one.
BINARY_HEADER_BYTES = {0xC4: 2, 0xC5: 3, BINARY_TYPE: BINARY_HEADER.size}
SNAPSHOT_DECODER = msgspec.msgpack.Decoder(SnapshotFile)


def encode_members(members):
    """Encode members as MessagePack."""
    return ENCODER.encode(members)


def decode_members(data):
    """Decode members from MessagePack."""
    return MEMBERS_DECODER.decode(data)


def encode_snapshot(snapshot):
    """Return the content of a snapshot file in two parts.

    The second one is the data of the snapshot, which is not copied.
    """
    header = BINARY_HEADER.pack(BINARY_TYPE, len(snapshot.data))
    head = ENCODER.encode(
        SnapshotFile(
            snapshot.last_index,
            snapshot.last_term,
            snapshot.members_index,
            snapshot.members,
            msgspec.Raw(header),
        )
    )
    return head, snapshot.data


def read_snapshot(path):
    """Return the snapshot in a file, None if there is no file.

    Its data stays in the file.

    Raises
    ------
    CorruptLogError
        If the file is damaged.
    """
    content = files.read_file(path)
    if content is None:
        return None
    stored = SNAPSHOT_DECODER.decode(content)
    encoded = memoryview(stored.data)
    size = len(encoded) - BINARY_HEADER_BYTES[encoded[0]]
    return model.Snapshot(
        stored.last_index,
        stored.last_term,
        stored.members_index,
        stored.members,
        files.open_bytes(path, len(content) - size, size),
    )


class Store:
    """Log, term, vote and snapshot of one replica.

    Parameters
    ----------
    path : str or pathlib.Path
        Folder of the group on this host.
    trailing_entries : int
        Entries up to a snapshot that stay in memory, so that a replica
        that is slightly behind needs no snapshot.
    trailing_bytes : int
        Limit on the size of these entries, 0 for none.

    Raises
    ------
    CorruptLogError
        If synced data cannot be read.
    DataFolderError
        If the data folder cannot be used.
    """

    def __init__(self, path, trailing_entries=0, trailing_bytes=0):
        self.path = pathlib.Path(path)
        self.trailing_entries = trailing_entries
        self.trailing_bytes = trailing_bytes
        self.folder = folder.DataFolder(path)
        self.store_id = self.folder.store_id
        self.term = 0
        self.vote = ''
        self.formed = False
        self.initial_members = ()
        self.snapshot = model.Snapshot(0, 0, 0, (), b'')
        self.base_index = 0
        self.base_term = 0
        self.entries = []
        self.member_changes = []
        # Last index of the entries in each segment.
        self.segment_last_indexes = {}
        self.log = None
        try:
            self.load()
        except BaseException:
            self.close()
            raise
        self.synced_index = self.last_index

    def load(self):
        """Load the state from all files."""
        data = files.read_file(self.path / VOTE_NAME)
        if data is not None:
            self.term, self.vote = VOTE_DECODER.decode(data)
        data = files.read_file(self.path / FORMATION_NAME)
        if data is not None:
            self.formed, self.initial_members = FORMATION_DECODER.decode(data)
        snapshot = read_snapshot(self.path / SNAPSHOT_NAME)
        if snapshot is not None:
            self.snapshot = snapshot
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
            if not batch:
                # A snapshot has replaced all earlier records.
                entries = []
                self.segment_last_indexes = {}
                continue
            self.segment_last_indexes[number] = max(
                self.segment_last_indexes.get(number, 0), batch[-1].index
            )
            first = batch[0].index
            if entries and first <= entries[0].index:
                entries = []
            if entries:
                del entries[first - entries[0].index :]
            if entries and first != entries[-1].index + 1:
                # The log may skip indexes only if a snapshot was installed.
                if first > self.base_index + 1:
                    raise exceptions.CorruptLogError(
                        f'entries {entries[-1].index + 1} to {first - 1} '
                        'are missing within the log'
                    )
                entries = []
            entries.extend(batch)
        self.log.payloads = []
        self.entries = self.drop_covered(entries)
        if self.entries and self.entries[0].index != self.base_index + 1:
            raise exceptions.CorruptLogError(
                f'entries {self.base_index + 1} to '
                f'{self.entries[0].index - 1} are missing between the '
                'snapshot and the log'
            )
        self.rebuild_members()

    def drop_covered(self, entries):
        """Return the entries that follow the snapshot."""
        covered = [e for e in entries if e.index <= self.base_index]
        if (
            covered
            and covered[-1].index == self.base_index
            and covered[-1].term != self.base_term
        ):
            # The snapshot is from a leader whose log has replaced this one.
            self.drop_segments()
            return []
        return entries[len(covered) :]

    def rebuild_members(self):
        """Rebuild the list of membership changes from the log."""
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
        """Members according to the latest change in the log."""
        if self.member_changes:
            return self.member_changes[-1][1]
        if self.snapshot.last_index:
            return self.snapshot.members
        return self.initial_members if self.formed else ()

    @property
    def members_index(self):
        """Index of the latest membership change."""
        if self.member_changes:
            return self.member_changes[-1][0]
        return self.snapshot.members_index

    def get_members_at(self, index):
        """Return index and members of the latest change up to an index."""
        for members_index, members in reversed(self.member_changes):
            if members_index <= index:
                return members_index, members
        if self.snapshot.last_index:
            return self.snapshot.members_index, self.snapshot.members
        return 0, self.initial_members

    def get_term(self, index):
        """Return the term of an entry, None if the entry is not held."""
        if index == self.base_index:
            return self.base_term
        offset = index - self.base_index - 1
        if 0 <= offset < len(self.entries):
            return self.entries[offset].term
        return None

    def get_entries(self, first, max_entries):
        """Return up to `max_entries` entries from an index on."""
        offset = first - self.base_index - 1
        return self.entries[offset : offset + max_entries]

    def save_vote(self, term, vote):
        """Persist the term and vote before they take effect."""
        if (term, vote) == (self.term, self.vote):
            return
        self.write_vote(term, vote)
        self.term, self.vote = term, vote

    def recover(self):
        """Make the files agree with this object after an error of the disk.

        Entries that were not synced are written again, because a later sync
        may not cover them. A vote whose file was replaced may be durable
        although the folder was not synced, so it counts.

        Raises
        ------
        OSError, DiskFullError
            If the disk still fails; nothing may be acknowledged.
        CorruptLogError
            If a file cannot be decoded.
        """
        self.log.rewind()
        first = max(self.synced_index, self.base_index) + 1
        entries = self.entries[first - self.base_index - 1 :]
        if entries:
            self.write_entries(entries)
        self.log.sync()
        self.synced_index = self.last_index
        data = files.read_file(self.path / VOTE_NAME)
        if data is not None:
            stored = VOTE_DECODER.decode(data)
            self.term, self.vote = max(stored, (self.term, self.vote))
            self.write_vote(self.term, self.vote)
        data = files.read_file(self.path / FORMATION_NAME)
        if data is not None:
            formation = FORMATION_DECODER.decode(data)
            if not self.formed:
                self.formed, self.initial_members = formation
            self.save_formation(self.formed, self.initial_members)

    def write_vote(self, term, vote):
        """Replace the file of the term and vote."""
        files.replace_file(self.path / VOTE_NAME, ENCODER.encode((term, vote)))

    def save_formation(self, formed, members):
        """Persist the identities of the initial voters."""
        files.replace_file(
            self.path / FORMATION_NAME, ENCODER.encode((formed, members))
        )
        self.formed, self.initial_members = formed, members

    def append(self, entries):
        """Write entries, which replace all from their first index on.

        Raises
        ------
        DiskFullError
            If the disk is full; nothing has changed.
        """
        self.write_entries(entries)
        first = entries[0].index
        if first <= self.last_index:
            del self.entries[first - self.base_index - 1 :]
            self.synced_index = min(self.synced_index, first - 1)
            while self.member_changes and self.member_changes[-1][0] >= first:
                self.member_changes.pop()
        self.entries.extend(entries)
        for entry in entries:
            if entry.kind == model.ENTRY_MEMBERS:
                self.member_changes.append(
                    (entry.index, decode_members(entry.data))
                )

    def write_entries(self, entries):
        """Append a record with entries to the log."""
        payload = ENCODER.encode(
            [(e.index, e.term, e.kind, e.data) for e in entries]
        )
        number = self.log.append(payload)
        self.segment_last_indexes[number] = max(
            self.segment_last_indexes.get(number, 0), entries[-1].index
        )

    @property
    def is_synced(self):
        """Whether all entries are durable."""
        return self.log.is_synced

    def sync(self):
        """Make the entries durable."""
        self.log.sync()

    def prepare_snapshot(self, snapshot):
        """Write a snapshot beside the current one, which may take long.

        This is the only method that may be called without the group lock by
        a thread other than the group thread.

        Returns
        -------
        Snapshot
            The same snapshot, whose data is in the file.
        """
        path = self.path / PREPARED_NAME
        head, data = encode_snapshot(snapshot)
        files.write_file(path, head, data)
        return dataclasses.replace(
            snapshot, data=files.open_bytes(path, len(head), len(data))
        )

    def publish_snapshot(self, snapshot):
        """Make the prepared snapshot the current one and trim the log."""
        if snapshot.last_index <= self.snapshot.last_index:
            return
        files.publish_file(
            self.path / PREPARED_NAME, self.path / SNAPSHOT_NAME
        )
        self.snapshot = snapshot
        first = self.find_trailing_base(snapshot.last_index)
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

    def find_trailing_base(self, last):
        """Return the index after which entries stay in memory."""
        first = max(self.base_index, last - self.trailing_entries)
        if not self.trailing_bytes:
            return first
        size = 0
        candidates = self.entries[: last - self.base_index]
        for entry in reversed(candidates):
            size += len(entry.data)
            if size > self.trailing_bytes:
                return max(first, entry.index)
        return first

    def install_snapshot(self, snapshot):
        """Persist a snapshot of the leader, which replaces this log.

        Entries after the snapshot are kept if the log agrees with it.
        """
        path = self.path / SNAPSHOT_NAME
        head, data = encode_snapshot(snapshot)
        files.replace_file(path, head, data)
        snapshot = dataclasses.replace(
            snapshot, data=files.open_bytes(path, len(head), len(data))
        )
        del data
        keeps_suffix = self.get_term(snapshot.last_index) == snapshot.last_term
        # The new segment comes first, because a full disk may refuse it. Until
        # then nothing has changed in memory, and the leader sends it again.
        if not keeps_suffix:
            self.drop_segments()
            self.entries = []
        else:
            self.log.roll()
            del self.entries[: snapshot.last_index - self.base_index]
        self.snapshot = snapshot
        self.base_index = snapshot.last_index
        self.base_term = snapshot.last_term
        self.rebuild_members()
        self.remove_segments()

    def drop_segments(self):
        """Delete the whole log, which a snapshot has replaced.

        Otherwise entries that are appended later would be taken for a part of
        the replaced log when the store is opened again. An empty record marks
        the earlier ones as replaced while their segments are deleted.
        """
        self.log.roll()
        self.log.append(ENCODER.encode([]))
        # If a later step fails, the entries have to be written again.
        self.synced_index = self.base_index
        self.log.sync()
        self.log.remove_before(self.log.number)
        self.segment_last_indexes = {}

    def trim_segments(self):
        """Start a new segment and delete segments that are not needed."""
        self.log.roll()
        self.remove_segments()

    def remove_segments(self):
        """Delete the segments that are not needed, after the start of one."""
        self.synced_index = self.last_index
        needed = self.log.number
        for number in reversed(self.log.numbers[:-1]):
            if (
                self.segment_last_indexes.get(number, 0)
                > self.snapshot.last_index
            ):
                needed = number
        self.log.remove_before(needed)
        self.segment_last_indexes = {
            number: end
            for number, end in self.segment_last_indexes.items()
            if number >= needed
        }

    def close(self):
        """Close all files and release the folder."""
        if self.log is not None:
            self.log.close()
        self.folder.close()
