"""Certificate authority that issues certificates for tests."""

from __future__ import annotations

import datetime
import ipaddress
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

ADDRESS = ipaddress.ip_address("127.0.0.1")
VALIDITY = datetime.timedelta(days=1)


class Authority:
    """Issues certificates for the loopback address and writes them to a directory."""

    def __init__(self, directory: Path) -> None:
        directory.mkdir(parents=True, exist_ok=True)
        self._directory = directory
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._name = _name("authority")
        certificate = self._certificate(self._name, self._key, is_authority=True)
        self.path = self._write("authority.pem", certificate)

    def issue(self, host: str) -> dict[str, str]:
        """Issue a certificate and return the TLS settings that refer to its files."""
        key = ec.generate_private_key(ec.SECP256R1())
        private = key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
        certificate = self._certificate(_name(host), key, is_authority=False)
        return {
            "certificate": self._write(f"{host}.pem", certificate),
            "key": self._write(f"{host}.key", private),
            "authority": self.path,
        }

    def _certificate(self, name, key, is_authority) -> bytes:
        now = datetime.datetime.now(datetime.UTC)
        builder = (
            x509.CertificateBuilder()
            .subject_name(name)
            .issuer_name(self._name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - VALIDITY)
            .not_valid_after(now + VALIDITY)
            .add_extension(x509.BasicConstraints(is_authority, None), critical=True)
            .add_extension(
                x509.SubjectAlternativeName([x509.IPAddress(ADDRESS)]), critical=False
            )
        )
        signed = builder.sign(self._key, hashes.SHA256())
        return signed.public_bytes(serialization.Encoding.PEM)

    def _write(self, name: str, content: bytes) -> str:
        path = self._directory / name
        path.write_bytes(content)
        return str(path)


def _name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])
