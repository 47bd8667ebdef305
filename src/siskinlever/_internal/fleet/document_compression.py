"""Documents as zlib data, as hosts send them to each other."""

from __future__ import annotations

import zlib

from ..exceptions import InvalidRecordError

# The fastest level makes a configuration of many routes a tenth of its size.
ZLIB_LEVEL = 1
# Larger than the largest value of the store.
MAX_DOCUMENT_BYTES = 16_777_216


class DocumentCompression:
    """Compresses documents, the newest one only once."""

    def __init__(self) -> None:
        self._newest = (b"", b"")

    def compressed(self, document: bytes) -> bytes:
        """Return a document as zlib data; nothing if it is empty."""
        if not document:
            return b""
        if self._newest[0] != document:
            self._newest = document, zlib.compress(document, ZLIB_LEVEL)
        return self._newest[1]


def decompressed(data: bytes) -> bytes:
    """Return the document in zlib data.

    Raises
    ------
    InvalidRecordError
        If it is not valid, incomplete, or larger than `MAX_DOCUMENT_BYTES`.
    """
    decompressor = zlib.decompressobj()
    try:
        document = decompressor.decompress(data, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        raise InvalidRecordError(f"not zlib data: {error}") from error
    if not decompressor.eof:
        message = f"zlib data: incomplete, or over {MAX_DOCUMENT_BYTES} bytes"
        raise InvalidRecordError(message)
    return document
