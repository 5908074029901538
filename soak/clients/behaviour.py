"""The behaviours of clients and their frequencies."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from random import Random


class Behaviour(StrEnum):
    """What a client does with its request.

    The load draws from the behaviours in the order of a profile, so another order would change what a seed
    stands for.
    """

    WAITS = "waits for the response"
    DISCONNECTS = "closes the connection before the response"
    RESETS = "resets the connection before the response"
    WRITES_SLOWLY = "writes in pieces"
    REQUESTS_CLOSE = "requests that the connection be closed"
    READS_SLOWLY = "reads a long response slowly"
    PIPELINES = "pipelines many requests"
    SENDS_GARBAGE = "sends garbage"
    STALLS_IN_REQUEST = "stops in the middle of a request"
    SENDS_NOTHING = "sends nothing"
    FLOODS = "sends much garbage and disconnects"


MALFORMED_BEHAVIOURS = (
    Behaviour.SENDS_GARBAGE,
    Behaviour.STALLS_IN_REQUEST,
    Behaviour.SENDS_NOTHING,
    Behaviour.FLOODS,
)
"""The behaviours of clients that send no valid request."""


@dataclass(slots=True)
class LoadProfile:
    """The weights with which behaviours are drawn; faults change them temporarily."""

    weights: dict[Behaviour, float]

    def draw(self, random: Random) -> Behaviour:
        """Draw the behaviour of one client."""
        return random.choices(list(self.weights), list(self.weights.values()))[0]


def default_profile() -> LoadProfile:
    """Return the profile that applies while no fault affects the clients."""
    return LoadProfile(
        {
            Behaviour.WAITS: 80.0,
            Behaviour.DISCONNECTS: 3.0,
            Behaviour.RESETS: 1.0,
            Behaviour.WRITES_SLOWLY: 4.0,
            Behaviour.REQUESTS_CLOSE: 4.0,
            Behaviour.READS_SLOWLY: 3.0,
            Behaviour.PIPELINES: 0.5,
            Behaviour.SENDS_GARBAGE: 0.3,
            Behaviour.STALLS_IN_REQUEST: 0.3,
            Behaviour.SENDS_NOTHING: 0.2,
            Behaviour.FLOODS: 0.2,
        }
    )
