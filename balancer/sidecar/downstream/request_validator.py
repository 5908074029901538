"""Validates a request's fields against the settings, and encodes the head to forward to an endpoint."""

from __future__ import annotations

import re
from hashlib import blake2b
from http import HTTPStatus
from typing import NamedTuple

from balancer.policy_api import Idempotency
from balancer.sidecar.configuration import SidecarConfiguration
from balancer.sidecar.http.request import (
    DEADLINE_FIELD,
    FORWARDED_FIELDS,
    IDEMPOTENCY_KEY_FIELD,
    REQUEST_CLASS_FIELD,
    REQUEST_ID_FIELD,
    RETRY_FIELD,
    TENANT_FIELD,
    WORK_HINT_FIELD,
    HttpRequestError,
    RequestHead,
    bad_request,
)
from balancer.sidecar.requests.client_request import ClientRequest
from balancer.time_units import SECOND_NS

MICROSECOND_NS = 1_000
"""Nanoseconds in a microsecond, the unit of the work hint."""

NO_KEY_HASH = 0
"""Stands for a request without a key; no key has this hash."""

KEY_PARAMETER = b"k="
"""Prefix of the query parameter that holds the key, which identifies the object of a request."""

KEY_HASH_BYTES = 8
"""Length of a key's hash in bytes: 64 bits, so that collisions are rare."""

_DECIMAL_SECONDS = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,9})?")
"""A number of seconds; float() alone would accept nan, inf, 1e9, 1_0 and more."""

_MICROSECONDS = re.compile(rb"[0-9]{1,12}")
"""A whole number of microseconds; int() alone would accept 1_0, +1 and more."""

_REQUEST_ID = re.compile(rb"[\x21-\x7e]{1,128}")
"""A request id: visible ASCII characters, short enough for the ids of all recent requests to be stored."""

_FORWARDED_NAMES = {name: name.title() for name in FORWARDED_FIELDS}
"""The names of the forwarded fields in the form that is sent to endpoints, by lower-case name."""


class _ClassRule(NamedTuple):
    """The requirements on requests of one request class."""

    class_index: int
    """Position of the class in the settings."""
    client_timeout_ns: int
    """The longest time that a client of the class waits for its response."""
    method: bytes
    """The only method that the class allows."""
    requires_idempotency_key: bool
    """Whether a request must carry an idempotency key."""


class RequestValidator:
    """Validates requests against the request classes and tenants of the settings."""

    def __init__(self, config: SidecarConfiguration) -> None:
        settings = config.settings
        self._class_rules = {
            request_class.name.encode(): _ClassRule(
                class_index=index,
                client_timeout_ns=request_class.client_timeout_ns,
                method=b"GET" if request_class.idempotency == Idempotency.IDEMPOTENT else b"POST",
                requires_idempotency_key=request_class.idempotency == Idempotency.IDEMPOTENCY_KEY,
            )
            for index, request_class in enumerate(settings.classes)
        }
        self._tenant_indices = {tenant.name.encode(): index for index, tenant in enumerate(settings.tenants)}

    def validate(self, head: RequestHead, body: bytes) -> ClientRequest:
        """Validate a request, and convert it for the dispatcher. Raises HttpRequestError."""
        fields = head.fields
        rule = self._class_rules.get(fields.get(REQUEST_CLASS_FIELD, b""))
        if rule is None:
            raise bad_request("Req-Kind is missing or unknown")
        request_id = fields.get(REQUEST_ID_FIELD, b"")
        if not _REQUEST_ID.fullmatch(request_id):
            raise bad_request("Req-Id is missing or makes no sense")
        _check_method(head, body, rule)
        return ClientRequest(
            client_request_id=request_id,
            class_index=rule.class_index,
            tenant_index=self._find_tenant(fields),
            key_hash=hash_request_key(head.target),
            timeout_ns=min(rule.client_timeout_ns, parse_deadline_ns(fields.get(DEADLINE_FIELD, b""))),
            work_hint_ns=parse_work_hint_ns(fields.get(WORK_HINT_FIELD, b"")),
            is_retry=fields.get(RETRY_FIELD) == b"1",
            head=encode_forwarded_head(head, rule.requires_idempotency_key),
            body=body,
        )

    def _find_tenant(self, fields: dict[bytes, bytes]) -> int:
        """Return the tenant's index; 0 if the settings define no tenants. Raises HttpRequestError."""
        if not self._tenant_indices:
            return 0
        tenant_index = self._tenant_indices.get(fields.get(TENANT_FIELD, b""))
        if tenant_index is None:
            raise bad_request("Req-Owner is missing or unknown")
        return tenant_index


def _check_method(head: RequestHead, body: bytes, rule: _ClassRule) -> None:
    """Check the method, the body and the idempotency key against the class. Raises HttpRequestError."""
    if head.method != rule.method:
        raise HttpRequestError(HTTPStatus.METHOD_NOT_ALLOWED, "the method does not fit the class")
    if body and rule.method == b"GET":
        raise bad_request("a request of this class has no body")
    if rule.requires_idempotency_key and not head.fields.get(IDEMPOTENCY_KEY_FIELD):
        raise bad_request("Idempotency-Key is missing")


def hash_request_key(target: bytes) -> int:
    """Return a 64-bit hash of the key in a target's query, or NO_KEY_HASH if it has none.

    All sidecars compute the same hash for a key.
    """
    _, _, query = target.partition(b"?")
    for parameter in query.split(b"&"):
        if parameter.startswith(KEY_PARAMETER) and len(parameter) > len(KEY_PARAMETER):
            key = parameter[len(KEY_PARAMETER) :]
            digest = blake2b(key, digest_size=KEY_HASH_BYTES).digest()
            return int.from_bytes(digest, "little") or NO_KEY_HASH + 1
    return NO_KEY_HASH


def parse_deadline_ns(text: bytes) -> int:
    """Convert decimal seconds to nanoseconds. Raises HttpRequestError if they are malformed or zero."""
    nanoseconds = int(float(text) * SECOND_NS) if _DECIMAL_SECONDS.fullmatch(text) else 0
    if not nanoseconds:
        raise bad_request("Req-Deadline is missing or makes no sense")
    return nanoseconds


def parse_work_hint_ns(text: bytes) -> int:
    """Convert the client's estimate of the work from microseconds to nanoseconds; 0 if it is malformed."""
    return int(text) * MICROSECOND_NS if _MICROSECONDS.fullmatch(text) else 0


def encode_forwarded_head(head: RequestHead, with_idempotency_key: bool) -> bytes:
    """Return the head to forward, without the deadline and the final empty line, which each attempt adds."""
    lines = [b"%s %s HTTP/1.1" % (head.method, head.target)]
    lines += [
        b"%s: %s" % (_FORWARDED_NAMES[name], value)
        for name, value in head.fields.items()
        if name in _FORWARDED_NAMES
    ]
    if with_idempotency_key:
        lines.append(b"Idempotency-Key: " + head.fields[IDEMPOTENCY_KEY_FIELD])
    if head.method == b"POST":
        lines.append(b"Content-Length: %d" % head.content_length)
    return b"\r\n".join(lines) + b"\r\n"
