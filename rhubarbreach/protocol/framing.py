"""Splitting of messages into small frames, and their assembly."""

import collections
import struct

from rhubarbreach import exceptions
from rhubarbreach.protocol import codec

__all__ = ['Assembler', 'FRAME_BYTES', 'split_message']

# TLS connections of the transport stall now and then while a message larger
# than one TLS record (16 KiB) is sent against back pressure, so that each
# frame has to fit into one record.
FRAME_BYTES = 8 * 1024
HEADER = struct.Struct('!II')
MAX_PARTIAL = 256


def split_message(data):
    """Return the frames of a message, each with its number and their count.

    Parameters
    ----------
    data : bytes
        Encoded message.

    Returns
    -------
    list of bytes
        Frames to be sent in this order over one connection.
    """
    count = max(1, -(-len(data) // FRAME_BYTES))
    return [
        HEADER.pack(number, count)
        + data[number * FRAME_BYTES : (number + 1) * FRAME_BYTES]
        for number in range(count)
    ]


class Assembler:
    """Puts the frames of each connection together again."""

    def __init__(self):
        self.partial = collections.OrderedDict()

    def add(self, pipe_id, frame):
        """Take a frame.

        Parameters
        ----------
        pipe_id : int
            Connection on which it came.
        frame : bytes
            Frame with its header.

        Returns
        -------
        bytes or None
            Whole message, None while frames are missing. A message whose
            sender gave up is dropped by the first frame of the next one.

        Raises
        ------
        MessageError
            If the frame does not follow the one before, or the message
            would be too large.
        """
        if len(frame) < HEADER.size:
            raise exceptions.MessageError('frame without a header')
        number, count = HEADER.unpack_from(frame)
        if count == 1 and number == 0:
            self.partial.pop(pipe_id, None)
            return frame[HEADER.size :]
        if not 0 <= number < count <= codec.MAX_MESSAGE_BYTES // FRAME_BYTES:
            self.partial.pop(pipe_id, None)
            raise exceptions.MessageError(f'frame {number} of {count}')
        if number == 0:
            self.partial[pipe_id] = (count, [])
            self.bound_partial()
        known = self.partial.get(pipe_id)
        if known is None or known[0] != count or len(known[1]) != number:
            self.partial.pop(pipe_id, None)
            raise exceptions.MessageError('frame out of order')
        known[1].append(frame[HEADER.size :])
        if number + 1 < count:
            return None
        del self.partial[pipe_id]
        return b''.join(known[1])

    def bound_partial(self):
        """Forget the oldest message of a connection that was lost."""
        while len(self.partial) > MAX_PARTIAL:
            self.partial.popitem(last=False)
