"""The tokens of timers: the integers in `SetTimer` and `TimerFired` that say which timer it is."""

from typing import NewType

TimerToken = NewType("TimerToken", int)
"""The token of a timer as the sidecar and the simulator carry it."""

CONTROL_CYCLE_TOKEN = TimerToken(0)
"""The token of the periodic timer that runs control cycles."""

PROBE_ROUND_OFFSET = 1
"""Offset that is added to a request id, because 0 is taken and request ids may start from 0."""


def encode_probe_round(request_id: int) -> TimerToken:
    """Return the token of the timer that ends a round of load probes for a request."""
    return TimerToken(request_id + PROBE_ROUND_OFFSET)


def decode_probe_round(token: TimerToken) -> int:
    """Return the request id in the token of a round of load probes."""
    return token - PROBE_ROUND_OFFSET
