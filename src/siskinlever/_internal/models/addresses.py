"""Validated string types for names, addresses and key digests."""

from __future__ import annotations

import ipaddress
import re
from typing import Annotated

from pydantic import AfterValidator
from pydantic_core import PydanticCustomError

NAME_PATTERN = r"^[a-z0-9][a-z0-9._-]{0,62}$"
ADDRESS_PATTERN = r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:.]+\]):\d{1,5}$"
URL_PATTERN = r"^https?://([^/]+)(/[A-Za-z0-9._~/-]*)?$"
KEY_DIGEST_PATTERN = r"^sha256:[0-9a-f]{64}$"
MAX_PORT = 65535


def check_name(value: str) -> str:
    """Return a name unchanged, or raise a validation error."""
    if re.match(NAME_PATTERN, value):
        return value
    raise PydanticCustomError(
        "name",
        "allowed: 1 to 63 lower-case letters, digits or ._-, the first a letter "
        "or digit",
    )


def is_address(value: str) -> bool:
    """Return whether a string is an IP address and a port from 1 to 65535."""
    if not re.match(ADDRESS_PATTERN, value):
        return False
    ip, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(ip.strip("[]"))
    except ValueError:
        return False
    return 1 <= int(port) <= MAX_PORT


def check_address(value: str) -> str:
    """Return an ``IP:port`` address unchanged, or raise a validation error."""
    if is_address(value):
        return value
    raise PydanticCustomError(
        "address",
        "allowed: an IP number and a port from 1 to 65535, such as 10.0.0.5:8100",
    )


def check_url(value: str) -> str:
    """Return the URL of a platform service unchanged, or raise a validation error.

    The host must be an IP address with a port.
    """
    url_match = re.match(URL_PATTERN, value)
    if url_match and is_address(url_match[1]):
        return value
    raise PydanticCustomError(
        "url", "allowed: a URL with an IP number and a port, such as http://10.0.0.5:80"
    )


def check_key_digest(value: str) -> str:
    """Return a key digest unchanged, or raise a validation error."""
    if re.match(KEY_DIGEST_PATTERN, value):
        return value
    raise PydanticCustomError(
        "key_digest", "allowed: sha256: and 64 hexadecimal digits in lower case"
    )


Name = Annotated[str, AfterValidator(check_name)]
Address = Annotated[str, AfterValidator(check_address)]
HttpUrl = Annotated[str, AfterValidator(check_url)]
KeyDigest = Annotated[str, AfterValidator(check_key_digest)]
