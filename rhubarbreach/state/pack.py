"""Many small byte strings by index, kept outside the object heap."""

import array

import msgspec

__all__ = ['Pack', 'SEGMENT_ITEMS', 'SegmentImage']

# Values of one segment share a buffer. Larger segments save buffers, smaller
# ones are cheaper to compact.
SEGMENT_ITEMS = 256
ABSENT = 0xFFFFFFFF
# A buffer is rewritten once this fraction of it belongs to dropped values.
COMPACT_FRACTION = 0.5


class SegmentImage(msgspec.Struct, frozen=True, array_like=True):
    """Segment of a pack as stored in a snapshot."""

    starts: bytes
    sizes: bytes
    data: bytes


class Segment:
    """Buffer with the values of up to `SEGMENT_ITEMS` indexes."""

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
            # A growing buffer is up to an eighth larger than its content.
            self.data = self.data[:]

    def get(self, slot):
        """Return the value of a slot or None."""
        if slot >= len(self.starts) or self.starts[slot] == ABSENT:
            return None
        start = self.starts[slot]
        return bytes(memoryview(self.data)[start : start + self.sizes[slot]])

    def drop(self, slot):
        """Forget the value of a slot."""
        if slot >= len(self.starts) or self.starts[slot] == ABSENT:
            return
        self.live -= self.sizes[slot]
        self.starts[slot] = ABSENT
        self.sizes[slot] = 0
        if self.live < len(self.data) * COMPACT_FRACTION:
            self.compact()

    def compact(self):
        """Rewrite the buffer without dropped values."""
        data = bytearray()
        for slot, start in enumerate(self.starts):
            if start == ABSENT:
                continue
            self.starts[slot] = len(data)
            data += self.data[start : start + self.sizes[slot]]
        self.data = data


class Pack:
    """Byte strings by index from zero.

    Notes
    -----
    An index costs 8 bytes beside its value. A dropped value frees its bytes
    at the latest when half of its segment is dropped.
    """

    __slots__ = ('segments',)

    def __init__(self):
        self.segments = []

    def set(self, index, value):
        """Store a value at an index."""
        number, slot = divmod(index, SEGMENT_ITEMS)
        while len(self.segments) <= number:
            self.segments.append(Segment())
        self.segments[number].set(slot, value)

    def get(self, index):
        """Return the value of an index or None."""
        number, slot = divmod(index, SEGMENT_ITEMS)
        if number >= len(self.segments):
            return None
        return self.segments[number].get(slot)

    def get_size(self, index):
        """Return the size of the value of an index in bytes."""
        number, slot = divmod(index, SEGMENT_ITEMS)
        if number >= len(self.segments):
            return 0
        sizes = self.segments[number].sizes
        return sizes[slot] if slot < len(sizes) else 0

    def drop(self, index):
        """Forget the value of an index."""
        number, slot = divmod(index, SEGMENT_ITEMS)
        if number < len(self.segments):
            self.segments[number].drop(slot)

    def clear(self):
        """Forget all values."""
        self.segments = []

    def get_bytes(self):
        """Return the bytes of all buffers, with dropped values."""
        return sum(len(segment.data) for segment in self.segments)

    def make_image(self):
        """Return the segments for a snapshot."""
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
        """Return the pack of a snapshot's segments."""
        pack = cls()
        for stored in image:
            segment = Segment()
            segment.starts.frombytes(stored.starts)
            segment.sizes.frombytes(stored.sizes)
            segment.data = bytearray(stored.data)
            segment.live = sum(segment.sizes)
            pack.segments.append(segment)
        return pack
