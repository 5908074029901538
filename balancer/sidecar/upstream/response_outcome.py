"""What a response says of the attempt that it answers."""

from __future__ import annotations

from http import HTTPStatus

from balancer.policy_api import AttemptOutcome
from balancer.sidecar.http.message import HttpResponse

STATUS_OK = int(HTTPStatus.OK)
"""The one status of a successful response; a plain integer, as every response is compared with it."""

REJECTION_STATUSES = frozenset((HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.GATEWAY_TIMEOUT))
"""Statuses of a rejected request, if the endpoint states with a header that it was not executed."""

CLIENT_ERROR_STATUSES = range(400, 500)
"""Statuses that blame the request (RFC 9110, section 15.5)."""

TRANSIENT_CLIENT_ERROR_STATUSES = frozenset(
    (HTTPStatus.REQUEST_TIMEOUT, HTTPStatus.TOO_EARLY, HTTPStatus.TOO_MANY_REQUESTS)
)
"""Client errors that concern the state of the endpoint, not the request."""


def outcome_of_response(response: HttpResponse | None) -> AttemptOutcome:
    """Return the outcome of an attempt with this response; None if the connection was lost without one.

    A request that was neither plainly rejected nor served may have been executed.
    """
    if response is None:
        return AttemptOutcome.CONNECTION_RESET
    status = response.status
    if status == STATUS_OK:
        return AttemptOutcome.SUCCESS
    if status in REJECTION_STATUSES and response.header(b"srv-declined") == b"1":
        return AttemptOutcome.REJECTED
    if status in CLIENT_ERROR_STATUSES and status not in TRANSIENT_CLIENT_ERROR_STATUSES:
        return AttemptOutcome.CLIENT_ERROR
    return AttemptOutcome.SERVER_ERROR
