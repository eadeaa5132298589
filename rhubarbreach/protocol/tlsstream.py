"""Accepted connections with TLS that are read without blocking."""

import functools
import itertools
import ssl

__all__ = ['ServerStream', 'make_wrap']

WOULD_BLOCK = (ssl.SSLWantReadError, ssl.SSLWantWriteError)


class ServerStream:
    """Accepted connection with TLS, which is read without blocking.

    Parameters
    ----------
    context : ssl.SSLContext
        Context that requires a certificate of the peer.
    accepted : socket.socket
        Socket that does not block.
    """

    def __init__(self, context, accepted):
        self.stream = context.wrap_socket(
            accepted, server_side=True, do_handshake_on_connect=False
        )
        self.is_ready = False
        # Common name of the verified certificate of the peer.
        self.peer_name = None

    def fileno(self):
        """Return the descriptor."""
        return self.stream.fileno()

    def shake_hands(self, greeting):
        """Go on with the handshake; send the greeting at its end.

        Raises
        ------
        BlockingIOError
            If bytes of the peer are missing.
        OSError
            If the handshake has failed.
        """
        self.call(self.stream.do_handshake)
        self.is_ready = True
        subject = self.stream.getpeercert().get('subject', ())
        for name, value in itertools.chain.from_iterable(subject):
            if name == 'commonName':
                self.peer_name = value
        self.call(self.stream.send, greeting)

    def recv(self, size):
        """Return up to `size` bytes that are there.

        Raises
        ------
        BlockingIOError
            If there is none.
        """
        parts = [self.call(self.stream.recv, size)]
        # Bytes that are decrypted already wake no poll.
        while pending := self.stream.pending():
            parts.append(self.call(self.stream.recv, pending))
        return b''.join(parts)

    def call(self, function, *arguments):
        """Call a function that raises `ssl.SSLError` if it would block."""
        try:
            return function(*arguments)
        except OSError as error:
            if isinstance(error, WOULD_BLOCK):
                raise BlockingIOError from error
            raise

    def close(self):
        """Close the connection."""
        self.stream.close()


def make_wrap(ca_file, certificate_file, key_file):
    """Return a function that returns the `ServerStream` of a socket.

    Parameters
    ----------
    ca_file, certificate_file, key_file : str
        Paths of PEM files; peers need a certificate of the same authority.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.verify_mode = ssl.CERT_REQUIRED
    context.load_verify_locations(ca_file)
    context.load_cert_chain(certificate_file, key_file)
    return functools.partial(ServerStream, context)
