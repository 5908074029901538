"""Counts the memory of the messages that a client's connection stores."""

from __future__ import annotations

from balancer.sidecar.http.buffer_budget import BudgetShare, MessageBudgets

UNCOUNTED_BYTES = 4 * 1024
"""Number of bytes in each direction that a connection may store uncounted; most messages are shorter."""


class StoredMessages:
    """The memory of one connection: requests that are not accepted yet, and responses that are not sent yet.

    Args:
        budgets: the limits on the memory of all messages.
    """

    __slots__ = ("_requests", "_responses")

    def __init__(self, budgets: MessageBudgets) -> None:
        self._requests = BudgetShare(budgets.requests)
        self._responses = BudgetShare(budgets.total)

    def try_store_requests(self, size_bytes: int) -> bool:
        """Count this many bytes of requests. Returns False if there is no memory for them."""
        return self._requests.try_resize(_counted(size_bytes))

    def record_requests(self, size_bytes: int) -> None:
        """Count the bytes of requests that are stored already."""
        self._requests.resize(_counted(size_bytes))

    def record_responses(self, size_bytes: int) -> None:
        """Count the bytes of responses that wait for earlier ones, or for the client to read."""
        self._responses.resize(_counted(size_bytes))

    def clear(self) -> None:
        """Count nothing any more, as the connection is closed."""
        self._requests.resize(0)
        self._responses.resize(0)


def _counted(size_bytes: int) -> int:
    return size_bytes if size_bytes > UNCOUNTED_BYTES else 0
