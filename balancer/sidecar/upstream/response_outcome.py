"""Determines the outcome of an attempt from its response."""

from __future__ import annotations

from http import HTTPStatus

from balancer.policy_api import AttemptOutcome
from balancer.sidecar.http.message import HttpResponse

STATUS_OK = int(HTTPStatus.OK)
"""The only status of a successful response.

It is a plain integer for speed, because every response is compared with it.
"""

REJECTION_STATUSES = frozenset((HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.GATEWAY_TIMEOUT))
"""Statuses of a rejected request, if a header of the response states that it was not executed."""

CLIENT_ERROR_STATUSES = range(400, 500)
"""Statuses of responses to an invalid request (RFC 9110, section 15.5)."""

TRANSIENT_CLIENT_ERROR_STATUSES = frozenset(
    (HTTPStatus.REQUEST_TIMEOUT, HTTPStatus.TOO_EARLY, HTTPStatus.TOO_MANY_REQUESTS)
)
"""Client errors that are caused by the state of the endpoint, not by the request."""


def outcome_of_response(
    response: HttpResponse | None, *, is_request_truncated: bool = False
) -> AttemptOutcome:
    """Return the outcome of an attempt from its response.

    A request that was sent completely, and neither served nor explicitly rejected, may have been executed.

    Args:
        response: The response; None if the connection ended without a usable one.
        is_request_truncated: Whether the connection ended before the last byte of the request was sent.
    """
    if response is None:
        if is_request_truncated:
            return AttemptOutcome.CONNECT_FAILED
        return AttemptOutcome.CONNECTION_RESET
    status = response.status
    if status == STATUS_OK:
        return AttemptOutcome.SUCCESS
    if status in REJECTION_STATUSES and response.header(b"srv-declined") == b"1":
        return AttemptOutcome.REJECTED
    if status in CLIENT_ERROR_STATUSES and status not in TRANSIENT_CLIENT_ERROR_STATUSES:
        return AttemptOutcome.CLIENT_ERROR
    return AttemptOutcome.SERVER_ERROR
