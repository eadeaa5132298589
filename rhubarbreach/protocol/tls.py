"""Mutual TLS between hosts."""

import dataclasses

import pynng

__all__ = ['TlsFiles', 'make_client', 'make_wrap']


@dataclasses.dataclass(frozen=True, slots=True)
class TlsFiles:
    """Paths of PEM files: CA of the fleet, certificate and key of the host."""

    ca_file: str
    certificate_file: str
    key_file: str


def read_text(path):
    """Return the text of a file."""
    with open(path, encoding='utf-8') as file:
        return file.read()


def make_config(mode, files, server_name):
    """Return a pynng TLS configuration that verifies the peer."""
    return pynng.TLSConfig(
        mode,
        server_name=server_name,
        ca_string=read_text(files.ca_file),
        own_key_string=read_text(files.key_file),
        own_cert_string=read_text(files.certificate_file),
        auth_mode=pynng.TLSConfig.AUTH_MODE_REQUIRED,
    )


def make_client(files, peer_id):
    """Return the TLS configuration to dial a peer and verify its name."""
    return make_config(pynng.TLSConfig.MODE_CLIENT, files, peer_id)


def make_wrap(files):
    """Return a function that returns the `ServerStream` of a socket."""
    # Imported here, as most processes use no TLS.
    from rhubarbreach.protocol import tlsstream

    return tlsstream.make_wrap(
        files.ca_file, files.certificate_file, files.key_file
    )
