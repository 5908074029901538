"""The faults of account servers."""

from __future__ import annotations

from enum import StrEnum


class ServerFault(StrEnum):
    """How an account server misbehaves.

    The strength of a planned fault selects a member by its position, so another order would change what a
    seed stands for.
    """

    NONE = "none"
    HANG = "hangs"
    SLOW = "is slow"
    ERROR = "responds with 500"
    REJECT = "rejects requests"
    RESET = "resets after it has read a request"
    GARBAGE = "responds with garbage"
    TRUNCATED = "closes within its response"
    DUPLICATE_RESPONSE = "sends a duplicate response"
    NO_LENGTH = "responds without a length and closes"
    CLOSE_IDLE = "closes after each response"
    REJECT_EARLY = "rejects long requests before it has read them"
