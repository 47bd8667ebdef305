"""TLS contexts of a process; without TLS settings no interface uses TLS."""

from __future__ import annotations

import ssl
from pathlib import Path

from ..models.settings import Tls

HTTP2 = "h2"


def listener_context(tls: Tls | None) -> ssl.SSLContext | None:
    """Return the context for the callers' and the operators' listeners."""
    if tls is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(tls.certificate, tls.key)
    return context


def peer_listener_context(tls: Tls | None) -> ssl.SSLContext | None:
    """Return the context for the peers' listener, which requires a certificate."""
    context = listener_context(tls)
    if context is None or tls is None:
        return None
    context.verify_mode = ssl.CERT_REQUIRED
    context.load_verify_locations(tls.authority)
    context.set_alpn_protocols([HTTP2])
    return context


def peer_client_context(tls: Tls | None) -> ssl.SSLContext | None:
    """Return the context for links to peers, with this host's certificate."""
    if tls is None:
        return None
    context = client_context(tls.authority)
    context.load_cert_chain(tls.certificate, tls.key)
    context.set_alpn_protocols([HTTP2])
    return context


def forwarding_context(tls: Tls | None) -> ssl.SSLContext | None:
    """Return the context for forwarding requests to other hosts."""
    return client_context(tls.authority) if tls else None


def client_context(authority: str) -> ssl.SSLContext:
    """Return the context for a client that trusts only one authority.

    Parameters
    ----------
    authority : str
        Path of the authority's certificates in PEM format.
    """
    return ssl.create_default_context(ssl.Purpose.SERVER_AUTH, cafile=authority)


def tls_faults(tls: Tls | None) -> list[str]:
    """Return the faults of the files in the settings, each with its JSON path."""
    if tls is None:
        return []
    own_files = (("certificate", tls.certificate), ("key", tls.key))
    faults = [
        f"$.tls.{field}: found {path!r}, which cannot be read: {error}"
        for field, path in (*own_files, ("authority", tls.authority))
        if (error := _read_error(path))
    ]
    return faults or _content_faults(tls)


def _read_error(path: str) -> str:
    try:
        Path(path).read_bytes()
    except OSError as error:
        return error.strerror or repr(error)
    return ""


def _content_faults(tls: Tls) -> list[str]:
    faults = []
    try:
        ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER).load_cert_chain(
            tls.certificate, tls.key
        )
    except (ssl.SSLError, OSError) as error:
        faults.append(
            f"$.tls.key: found {tls.key!r}, allowed: the PEM key of "
            f"{tls.certificate!r} ({error})"
        )
    try:
        client_context(tls.authority)
    except (ssl.SSLError, OSError) as error:
        faults.append(
            f"$.tls.authority: found {tls.authority!r}, allowed: PEM certificates "
            f"({error})"
        )
    return faults
