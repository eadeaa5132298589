"""Certificate authority and host certificates for a small deployment."""

import datetime
import ipaddress
import pathlib

from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography import x509
from cryptography.x509 import oid

__all__ = ['write_certificates']

VALID_DAYS = 825
KEY_FILE_MODE = 0o600


def make_name(common_name):
    """Return an X.509 name that consists of a common name."""
    attribute = x509.NameAttribute(oid.NameOID.COMMON_NAME, common_name)
    return x509.Name([attribute])


def build_certificate(subject, public_key, issuer, issuer_key, is_authority):
    """Return a signed certificate for a subject on 127.0.0.1."""
    now = datetime.datetime.now(datetime.UTC)
    builder = x509.CertificateBuilder(
        subject_name=make_name(subject),
        issuer_name=make_name(issuer),
        public_key=public_key,
        serial_number=x509.random_serial_number(),
        not_valid_before=now - datetime.timedelta(hours=1),
        not_valid_after=now + datetime.timedelta(days=VALID_DAYS),
    )
    constraints = x509.BasicConstraints(ca=is_authority, path_length=None)
    names = x509.SubjectAlternativeName(
        [
            x509.DNSName(subject),
            x509.IPAddress(ipaddress.ip_address('127.0.0.1')),
        ]
    )
    builder = builder.add_extension(constraints, critical=True)
    builder = builder.add_extension(names, critical=False)
    return builder.sign(issuer_key, hashes.SHA256())


def write_pair(folder, name, certificate, key):
    """Write a certificate and its private key."""
    encoding = serialization.Encoding.PEM
    folder.joinpath(f'{name}.crt').write_bytes(
        certificate.public_bytes(encoding)
    )
    key_path = folder / f'{name}.key'
    key_path.touch(mode=KEY_FILE_MODE)
    key_path.write_bytes(
        key.private_bytes(
            encoding,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )


def write_certificates(folder, host_ids, authority='rhubarbreach-ca'):
    """Create an authority and issue one certificate for each host.

    Parameters
    ----------
    folder : str
        Folder for the files `ca.crt`, `ca.key`, `HOST.crt`, `HOST.key`.
    host_ids : iterable of str
        Hosts; each id becomes the common name of a certificate.
    authority : str
        Common name of the authority.
    """
    folder = pathlib.Path(folder)
    folder.mkdir(parents=True, exist_ok=True)
    ca_key = ec.generate_private_key(ec.SECP256R1())
    ca = build_certificate(
        authority, ca_key.public_key(), authority, ca_key, True
    )
    write_pair(folder, 'ca', ca, ca_key)
    for host_id in host_ids:
        key = ec.generate_private_key(ec.SECP256R1())
        certificate = build_certificate(
            host_id, key.public_key(), authority, ca_key, False
        )
        write_pair(folder, host_id, certificate, key)
