"""Limits on the memory that messages take while they arrive, wait or are sent."""

from __future__ import annotations

from dataclasses import dataclass

REQUEST_SHARE = 0.5
"""The fraction of the memory for messages that requests may take; the rest is left for responses."""


@dataclass(slots=True)
class BufferBudget:
    """Counts the bytes of memory of all messages that share it."""

    max_bytes: int
    """Limit on the bytes that are reserved at once."""
    used_bytes: int = 0
    """Number of bytes that are reserved now."""
    parent: BufferBudget | None = None
    """A budget in which the same bytes are reserved as well."""

    def reserve(self, size_bytes: int) -> bool:
        """Reserve bytes to be buffered. Returns False, and reserves none, if they do not fit."""
        used_bytes = self.used_bytes + size_bytes
        if used_bytes > self.max_bytes:
            return False
        if self.parent is not None and not self.parent.reserve(size_bytes):
            return False
        self.used_bytes = used_bytes
        return True

    def occupy(self, size_bytes: int) -> None:
        """Count bytes that are in memory already, also beyond the limit."""
        self.used_bytes += size_bytes
        if self.parent is not None:
            self.parent.occupy(size_bytes)

    def release(self, size_bytes: int) -> None:
        """Release bytes that were reserved or occupied."""
        self.used_bytes -= size_bytes
        if self.parent is not None:
            self.parent.release(size_bytes)


class BudgetShare:
    """The bytes of one owner in a budget.

    Args:
        budget: the budget.

    Attributes:
        size_bytes: how many bytes the owner has in the budget.
    """

    __slots__ = ("_budget", "size_bytes")

    def __init__(self, budget: BufferBudget) -> None:
        self._budget = budget
        self.size_bytes = 0

    def try_resize(self, size_bytes: int) -> bool:
        """Change the share to this size. Returns False, and changes nothing, if that does not fit."""
        if size_bytes == self.size_bytes:
            return True
        if size_bytes > self.size_bytes and not self._budget.reserve(size_bytes - self.size_bytes):
            return False
        if size_bytes < self.size_bytes:
            self._budget.release(self.size_bytes - size_bytes)
        self.size_bytes = size_bytes
        return True

    def resize(self, size_bytes: int) -> None:
        """Change the share to the size of what is in memory already, also beyond the limit."""
        if not self.try_resize(size_bytes):
            self._budget.occupy(size_bytes - self.size_bytes)
            self.size_bytes = size_bytes


class MessageBudgets:
    """The budgets of a sidecar for the messages of its clients and endpoints.

    Args:
        max_bytes: limit on the memory of all messages.

    Attributes:
        total: all messages; responses that wait for their client count here alone.
        requests: requests that arrive, wait or are in flight.
        responses: responses that arrive from endpoints.
    """

    def __init__(self, max_bytes: int) -> None:
        self.total = BufferBudget(max_bytes)
        self.requests = BufferBudget(int(max_bytes * REQUEST_SHARE), parent=self.total)
        self.responses = BufferBudget(max_bytes, parent=self.total)
