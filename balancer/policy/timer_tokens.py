"""The tokens of timers: what each one stands for, and its integer in `SetTimer` and `TimerFired`."""

from typing import NewType

TimerToken = NewType("TimerToken", int)
"""The token of a timer as the sidecar and the simulator carry it."""

CONTROL_CYCLE_TOKEN = TimerToken(0)
"""The periodic timer of the control cycle."""

PROBE_ROUND_OFFSET = 1
"""Added to a request id, as 0 is taken and request ids may start from 0."""


def encode_probe_round(request_id: int) -> TimerToken:
    """Return the token of the timer that ends a round of probes for a request."""
    return TimerToken(request_id + PROBE_ROUND_OFFSET)


def decode_probe_round(token: TimerToken) -> int:
    """Return the request id in the token of a round of probes."""
    return token - PROBE_ROUND_OFFSET
