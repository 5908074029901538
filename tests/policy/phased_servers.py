"""The account servers of a characterization test: in each phase some or all of them have a fault."""

from __future__ import annotations

from random import Random
from typing import NamedTuple

from balancer.policy_api import AttemptOutcome, Endpoint, EndpointHealth, EndpointId
from balancer.time_units import MILLISECOND_NS, SECOND_NS
from tests.builders import endpoint_id
from tests.policy.characterization_scenarios import Phase

SERVER_COUNT = 14
AFFECTED_COUNTS = (2, 4, 8)
"""Numbers of account servers that a phase may affect."""
HEALTH_CHECK_FAILURES = (AttemptOutcome.TIMEOUT, AttemptOutcome.REJECTED, AttemptOutcome.CONNECT_FAILED)
PHASES_THAT_FAIL_HEALTH_CHECKS = (Phase.UNREACHABLE, Phase.UNRESPONSIVE, Phase.REJECTING)


class ServerResponse(NamedTuple):
    """The outcome of an attempt or a health check, and when it ends unless the sidecar ends it before."""

    outcome: AttemptOutcome
    duration_ns: int


NO_RESPONSE = ServerResponse(AttemptOutcome.SUCCESS, 60 * SECOND_NS)
"""A response so late that every client has given up before."""


class PhasedServers:
    """The account servers with their entries in the endpoint list, and their current phase.

    The responses depend on the order of the random draws, which must stay the same for the recorded digests.
    """

    def __init__(self, zone_count: int, phases: tuple[Phase, ...], random: Random) -> None:
        self._phases = phases
        self._random = random
        self._entry_by_number = {
            number: _initial_entry(number, zone_count) for number in range(1, SERVER_COUNT + 1)
        }
        self._affected_ids: set[EndpointId] = set()
        self.phase = Phase.STEADY_STATE

    @property
    def entries(self) -> tuple[Endpoint, ...]:
        """All entries of the endpoint list, including those of removed endpoints."""
        return tuple(self._entry_by_number.values())

    @property
    def present_entries(self) -> tuple[Endpoint, ...]:
        """The entries of the endpoints that are not removed."""
        return tuple(entry for entry in self.entries if entry.health != EndpointHealth.REMOVED)

    def change_phase(self, now_ns: int) -> list[Endpoint]:
        """Draw the next phase and the account servers that it affects; return the changed entries."""
        self.phase = self._random.choice(self._phases)
        affected_numbers = self._random.sample(
            sorted(self._entry_by_number), self._random.choice(AFFECTED_COUNTS)
        )
        self._affected_ids = {self._entry_by_number[number].id for number in affected_numbers}
        changed_entries = []
        for number, entry in self._entry_by_number.items():
            changed = self._entry_in_phase(entry, now_ns)
            if changed is not None:
                self._entry_by_number[number] = changed
                changed_entries.append(changed)
        return changed_entries

    def respond_to_attempt(self, identifier: EndpointId, class_index: int) -> ServerResponse:
        """Draw the response to an attempt."""
        usual_ns = int(self._random.expovariate(1) * 30 * MILLISECOND_NS) + 5 * MILLISECOND_NS
        if self.phase == Phase.OVERLOAD:
            usual_ns *= 8
            if self._random.random() < 0.3:
                return ServerResponse(AttemptOutcome.REJECTED, usual_ns // 4)
        if identifier in self._affected_ids:
            return self._response_of_affected_server(class_index, usual_ns)
        is_success = self._random.random() < 0.99
        return ServerResponse(AttemptOutcome.SUCCESS if is_success else AttemptOutcome.SERVER_ERROR, usual_ns)

    def respond_to_health_check(self, identifier: EndpointId) -> ServerResponse:
        """Draw the response to a health check."""
        duration_ns = self._random.randrange(1 * MILLISECOND_NS, 8 * MILLISECOND_NS)
        if identifier in self._affected_ids and self.phase in PHASES_THAT_FAIL_HEALTH_CHECKS:
            return ServerResponse(self._random.choice(HEALTH_CHECK_FAILURES), 100 * MILLISECOND_NS)
        return ServerResponse(AttemptOutcome.SUCCESS, duration_ns)

    def _entry_in_phase(self, entry: Endpoint, now_ns: int) -> Endpoint | None:
        """Return the changed entry of an account server for the new phase, or None if it does not change."""
        is_affected = entry.id in self._affected_ids
        if self.phase == Phase.DRAIN and is_affected:
            health = self._random.choice((EndpointHealth.DRAINING, EndpointHealth.REMOVED))
            return entry._replace(health=health)
        restarts = self.phase == Phase.RESTART and is_affected
        if restarts or entry.health != EndpointHealth.READY:
            return entry._replace(started_at_ns=now_ns, health=EndpointHealth.READY)
        return None

    def _response_of_affected_server(self, class_index: int, usual_ns: int) -> ServerResponse:
        response_by_phase = {
            Phase.SLOW: ServerResponse(AttemptOutcome.SUCCESS, usual_ns * 6),
            Phase.UNREACHABLE: ServerResponse(AttemptOutcome.CONNECT_FAILED, 1 * MILLISECOND_NS),
            Phase.REJECTING: ServerResponse(AttemptOutcome.REJECTED, 1 * MILLISECOND_NS),
            Phase.UNRESPONSIVE: NO_RESPONSE,
        }
        if self.phase in response_by_phase:
            return response_by_phase[self.phase]
        if self.phase == Phase.HANGING_CLASS and class_index == 0:
            return NO_RESPONSE
        if self.phase == Phase.SERVER_ERRORS and self._random.random() < 0.8:
            return ServerResponse(AttemptOutcome.SERVER_ERROR, 2 * MILLISECOND_NS)
        if self.phase == Phase.RESETS and self._random.random() < 0.5:
            return ServerResponse(AttemptOutcome.CONNECTION_RESET, usual_ns)
        outcomes = (*[AttemptOutcome.SUCCESS] * 3, AttemptOutcome.CLIENT_ERROR)
        return ServerResponse(self._random.choice(outcomes), usual_ns)


def _initial_entry(number: int, zone_count: int) -> Endpoint:
    return Endpoint(
        id=endpoint_id(number),
        zone=number % zone_count,
        machine_class=0,
        cell=number // 3,
        health=EndpointHealth.READY,
        weight=1.0 + number % 2,
        started_at_ns=0,
    )
