"""Compact storage of many small byte strings by index.

The values share buffers, so that there is no Python object for each value.
"""

import array

import msgspec

__all__ = ['Pack', 'SEGMENT_ITEMS', 'SegmentImage']

# The values of a segment share one buffer. Larger segments need fewer buffers;
# smaller ones are cheaper to compact.
SEGMENT_ITEMS = 256
ABSENT = 0xFFFFFFFF
# A buffer is compacted once more than this fraction of it holds dropped
# values.
COMPACT_FRACTION = 0.5


class SegmentImage(msgspec.Struct, frozen=True, array_like=True):
    """Segment of a pack as stored in a snapshot."""

    starts: bytes
    sizes: bytes
    data: bytes


class Segment:
    """Buffer with up to `SEGMENT_ITEMS` values; `live` counts their bytes."""

    __slots__ = ('data', 'starts', 'sizes', 'live')

    def __init__(self):
        self.data = bytearray()
        self.starts = array.array('I')
        self.sizes = array.array('I')
        self.live = 0

    def set(self, slot, value):
        """Store a value at a slot."""
        while len(self.starts) <= slot:
            self.starts.append(ABSENT)
            self.sizes.append(0)
        self.drop(slot)
        self.starts[slot] = len(self.data)
        self.sizes[slot] = len(value)
        self.data += value
        self.live += len(value)
        if slot == SEGMENT_ITEMS - 1:
            # Appending leaves the buffer up to an eighth larger than its
            # content; the copy has no spare capacity.
            self.data = self.data[:]

    def get(self, slot):
        """Return the value of a slot, None if there is none."""
        if slot >= len(self.starts) or self.starts[slot] == ABSENT:
            return None
        start = self.starts[slot]
        return bytes(memoryview(self.data)[start : start + self.sizes[slot]])

    def drop(self, slot):
        """Drop the value of a slot."""
        if slot >= len(self.starts) or self.starts[slot] == ABSENT:
            return
        self.live -= self.sizes[slot]
        self.starts[slot] = ABSENT
        self.sizes[slot] = 0
        if self.live < len(self.data) * COMPACT_FRACTION:
            self.compact()

    def compact(self):
        """Copy the live values to a new buffer."""
        data = bytearray()
        for slot, start in enumerate(self.starts):
            if start == ABSENT:
                continue
            self.starts[slot] = len(data)
            data += self.data[start : start + self.sizes[slot]]
        self.data = data


class Pack:
    """Array of byte strings in shared buffers.

    Notes
    -----
    Each index costs 8 bytes in addition to its value. The bytes of a dropped
    value are freed at the latest when more than half of the bytes of its
    segment are dropped.
    """

    __slots__ = ('segments',)

    def __init__(self):
        self.segments = []

    def set(self, index, value):
        """Store a value at an index."""
        segment_index, slot = divmod(index, SEGMENT_ITEMS)
        while len(self.segments) <= segment_index:
            self.segments.append(Segment())
        self.segments[segment_index].set(slot, value)

    def get(self, index):
        """Return the value of an index, None if there is none."""
        segment_index, slot = divmod(index, SEGMENT_ITEMS)
        if segment_index >= len(self.segments):
            return None
        return self.segments[segment_index].get(slot)

    def get_size(self, index):
        """Return the size in bytes of the value of an index."""
        segment_index, slot = divmod(index, SEGMENT_ITEMS)
        if segment_index >= len(self.segments):
            return 0
        sizes = self.segments[segment_index].sizes
        return sizes[slot] if slot < len(sizes) else 0

    def drop(self, index):
        """Drop the value of an index."""
        segment_index, slot = divmod(index, SEGMENT_ITEMS)
        if segment_index < len(self.segments):
            self.segments[segment_index].drop(slot)

    def clear(self):
        """Drop all values."""
        self.segments = []

    def get_bytes(self):
        """Return the size of all buffers in bytes, with dropped values."""
        return sum(len(segment.data) for segment in self.segments)

    def make_image(self):
        """Return the snapshot form of the segments."""
        return tuple(
            SegmentImage(
                segment.starts.tobytes(),
                segment.sizes.tobytes(),
                bytes(segment.data),
            )
            for segment in self.segments
        )

    @classmethod
    def from_image(cls, image):
        """Return the pack from the snapshot form of its segments."""
        pack = cls()
        for segment_image in image:
            segment = Segment()
            segment.starts.frombytes(segment_image.starts)
            segment.sizes.frombytes(segment_image.sizes)
            segment.data = bytearray(segment_image.data)
            segment.live = sum(segment.sizes)
            pack.segments.append(segment)
        return pack
