"""Splitting of messages into frames and their reassembly."""

import collections
import struct

from rhubarbreach import exceptions
from rhubarbreach.protocol import codec

__all__ = ['Assembler', 'FRAME_BYTES', 'split_message']

# Each frame has to fit into one TLS record (16 KiB): TLS connections of the
# transport stall occasionally while a message larger than one record is sent
# under backpressure.
FRAME_BYTES = 8 * 1024
HEADER = struct.Struct('!II')
MAX_PARTIAL_MESSAGES = 256
# Bytes of all incomplete messages together; a fifth of the memory of the
# smallest host. Sixteen of the longest messages may arrive at the same time.
MAX_PARTIAL_BYTES = 16 * codec.MAX_MESSAGE_BYTES
# What a frame takes beside its bytes.
FRAME_COST_BYTES = 64


def split_message(data):
    """Return the frames of a message, each with its number and the count.

    Parameters
    ----------
    data : bytes
        Encoded message.

    Returns
    -------
    list of bytes
        Frames, to be sent in this order over one connection.
    """
    count = max(1, -(-len(data) // FRAME_BYTES))
    return [
        HEADER.pack(number, count)
        + data[number * FRAME_BYTES : (number + 1) * FRAME_BYTES]
        for number in range(count)
    ]


class Assembler:
    """Reassembly of messages from the frames of each connection."""

    def __init__(self):
        self.partial = collections.OrderedDict()
        self.partial_bytes = 0

    def add(self, pipe_id, frame):
        """Add a received frame.

        Parameters
        ----------
        pipe_id : int
            Connection on which the frame arrived.
        frame : bytes
            Frame with its header.

        Returns
        -------
        bytes or None
            Complete message, None while frames are missing. If the sender
            abandons a message, the first frame of its next message discards
            the incomplete one.

        Raises
        ------
        MessageError
            If the frame has no valid header, does not follow the previous
            frame, or belongs to a message that is too large.
        """
        if len(frame) < HEADER.size:
            raise exceptions.MessageError(
                f'frame of {len(frame)} bytes has no complete header'
            )
        number, count = HEADER.unpack_from(frame)
        if count == 1 and number == 0:
            self.discard(pipe_id)
            return frame[HEADER.size :]
        if not 0 <= number < count <= codec.MAX_MESSAGE_BYTES // FRAME_BYTES:
            self.discard(pipe_id)
            raise exceptions.MessageError(
                f'invalid header: frame {number} of {count}'
            )
        if number == 0:
            self.discard(pipe_id)
            self.partial[pipe_id] = (count, [])
        partial = self.partial.get(pipe_id)
        if partial is None or partial[0] != count or len(partial[1]) != number:
            self.discard(pipe_id)
            raise exceptions.MessageError(
                f'frame {number} of {count} is out of order'
            )
        partial[1].append(frame[HEADER.size :])
        self.partial_bytes += len(frame) + FRAME_COST_BYTES
        if number + 1 < count:
            self.evict_partial()
            return None
        self.discard(pipe_id)
        return b''.join(partial[1])

    def discard(self, pipe_id):
        """Discard the incomplete message of a connection, if any."""
        _, frames = self.partial.pop(pipe_id, (0, ()))
        self.partial_bytes -= sum(
            len(frame) + HEADER.size + FRAME_COST_BYTES for frame in frames
        )

    def evict_partial(self):
        """Discard the oldest incomplete messages above the limits.

        They belong to connections that were lost, or to peers that stop short
        of their end.
        """
        while (
            len(self.partial) > MAX_PARTIAL_MESSAGES
            or self.partial_bytes > MAX_PARTIAL_BYTES
        ):
            self.discard(next(iter(self.partial)))
