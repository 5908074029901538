"""Whether a request that may have been executed is safe to retry, by the idempotency of its class."""

from __future__ import annotations

from typing import NamedTuple

from balancer.policy_api import DeduplicationScope, Idempotency, RequestClass


class EndpointGroup(NamedTuple):
    """The deduplication group of an endpoint, by its location.

    Endpoints drop duplicates of requests that other endpoints of their group have executed. Depending on the
    deduplication scope of the request's class, the group is the cell, the zone or all endpoints.
    """

    zone: int
    cell: int

    def __str__(self) -> str:
        return f"{self.zone}/{self.cell}"


def is_safe_to_retry(
    request_class: RequestClass, first_group: EndpointGroup | None, second_group: EndpointGroup | None
) -> bool:
    """Return whether a request that may have been executed is safe to retry.

    The caller checks the deduplication window of the class; this function ignores it.

    Args:
        request_class: The class of the request.
        first_group: The group of the endpoint that may have executed it; None if it is unknown.
        second_group: The group of the endpoint that gets the retry; None if it could be any endpoint.
    """
    if request_class.idempotency == Idempotency.IDEMPOTENT:
        return True
    if request_class.idempotency != Idempotency.IDEMPOTENCY_KEY:
        return False
    return _share_deduplication(request_class.deduplication_scope, first_group, second_group)


def _share_deduplication(
    scope: DeduplicationScope, first_group: EndpointGroup | None, second_group: EndpointGroup | None
) -> bool:
    """Return whether endpoints of one group drop duplicates of requests that the other group has executed."""
    if scope == DeduplicationScope.ALL:
        return True
    if first_group is None or second_group is None:
        return False
    if first_group.zone != second_group.zone:
        return False
    return scope == DeduplicationScope.ZONE or first_group.cell == second_group.cell
