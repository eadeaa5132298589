"""Mutual TLS between hosts."""

import dataclasses

import pynng

__all__ = ['TlsFiles', 'get_peer_name', 'make_client', 'make_server']

PEER_NAME_OPTION = b'tls-peer-cn'


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


def make_server(files):
    """Return the TLS configuration of a listening socket."""
    return make_config(pynng.TLSConfig.MODE_SERVER, files, None)


def make_client(files, peer_id):
    """Return the TLS configuration to dial a peer and verify its name."""
    return make_config(pynng.TLSConfig.MODE_CLIENT, files, peer_id)


def get_peer_name(pipe):
    """Return the common name of the verified certificate of a pipe.

    Parameters
    ----------
    pipe : pynng.Pipe
        Pipe of a received message.

    Returns
    -------
    str or None
        Common name, None when the pipe has no verified certificate.

    Notes
    -----
    pynng does not expose this option of the NNG library, so it is read with
    a function of that library.
    """
    library = pynng.nng.lib
    value = pynng.nng.ffi.new('char **')
    result = library.nng_pipe_get_string(pipe.pipe, PEER_NAME_OPTION, value)
    if result != 0:
        return None
    name = pynng.nng.ffi.string(value[0]).decode('utf-8', 'replace')
    library.nng_strfree(value[0])
    return name
