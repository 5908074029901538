"""When executing a request a second time does no harm, by the idempotency of its class."""

from __future__ import annotations

from typing import NamedTuple

from balancer.policy_api import DeduplicationScope, Idempotency, RequestClass


class EndpointGroup(NamedTuple):
    """The location of an endpoint, as far as it decides which repeats the endpoint drops."""

    zone: int
    cell: int

    def __str__(self) -> str:
        return f"{self.zone}/{self.cell}"


def is_safe_to_retry(
    request_class: RequestClass, first_group: EndpointGroup | None, second_group: EndpointGroup | None
) -> bool:
    """Return whether a request that may have been executed once may be executed a second time.

    The deduplication window of the class is not considered; it is left to the caller.

    Args:
        request_class: The class of the request.
        first_group: The group of the endpoint that may have executed it; None if that is not known.
        second_group: The group of the endpoint of the repeat; None if it could be any endpoint.
    """
    if request_class.idempotency == Idempotency.IDEMPOTENT:
        return True
    if request_class.idempotency != Idempotency.IDEMPOTENCY_KEY:
        return False
    return _share_deduplication(request_class.deduplication_scope, first_group, second_group)


def _share_deduplication(
    scope: DeduplicationScope, first_group: EndpointGroup | None, second_group: EndpointGroup | None
) -> bool:
    """Return whether endpoints of one group drop repeats of what those of the other have executed."""
    if scope == DeduplicationScope.ALL:
        return True
    if first_group is None or second_group is None:
        return False
    if first_group.zone != second_group.zone:
        return False
    return scope == DeduplicationScope.ZONE or first_group.cell == second_group.cell
