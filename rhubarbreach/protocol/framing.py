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
            self.partial.pop(pipe_id, None)
            return frame[HEADER.size :]
        if not 0 <= number < count <= codec.MAX_MESSAGE_BYTES // FRAME_BYTES:
            self.partial.pop(pipe_id, None)
            raise exceptions.MessageError(
                f'invalid header: frame {number} of {count}'
            )
        if number == 0:
            self.partial[pipe_id] = (count, [])
            self.evict_partial()
        partial = self.partial.get(pipe_id)
        if partial is None or partial[0] != count or len(partial[1]) != number:
            self.partial.pop(pipe_id, None)
            raise exceptions.MessageError(
                f'frame {number} of {count} is out of order'
            )
        partial[1].append(frame[HEADER.size :])
        if number + 1 < count:
            return None
        del self.partial[pipe_id]
        return b''.join(partial[1])

    def evict_partial(self):
        """Discard the oldest incomplete messages above the limit.

        They belong to connections that were lost.
        """
        while len(self.partial) > MAX_PARTIAL_MESSAGES:
            self.partial.popitem(last=False)
