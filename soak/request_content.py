"""The part of a request that a sidecar has to pass on to an account server without change."""

from __future__ import annotations

from hashlib import blake2b

DIGEST_BYTES = 8
"""Size of a digest; enough to tell all requests of a soak apart."""
PASSED_ON_FIELDS = (b"req-id", b"idempotency-key")
"""Names of the header fields that are passed on, in lower case."""


def content_digest(message: bytes) -> str:
    """Return a digest of the request line, the fields that are passed on, and the body of a request."""
    head, _separator, body = message.partition(b"\r\n\r\n")
    request_line, *lines = head.split(b"\r\n")
    digest = blake2b(request_line, digest_size=DIGEST_BYTES)
    fields = {}
    for line in lines:
        name, _colon, value = line.partition(b":")
        fields[name.strip().lower()] = value.strip()
    for name in PASSED_ON_FIELDS:
        digest.update(b"\n" + name + b":" + fields.get(name, b""))
    digest.update(b"\n" + body)
    return digest.hexdigest()
