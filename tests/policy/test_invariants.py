"""Tests with arbitrary legal events, whose results an independent checker compares with the invariants."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from balancer.policy_api import AttemptOutcome, EndpointHealth, Idempotency, Settings
from balancer.time_units import MILLISECOND_NS
from tests.builders import request_class, settings
from tests.policy.invariant_checker import InvariantChecker
from tests.policy.invariant_steps import (
    SETTINGS,
    STEPS,
    AdvanceClock,
    CompleteAttempt,
    ReceiveRequest,
    Step,
    build_endpoint,
)


def run_steps(config: Settings, steps: list[Step], seed: int = 3) -> InvariantChecker:
    """Start with eight endpoints in two zones and four cells, then take the steps."""
    checker = InvariantChecker(config, seed)
    checker.start([build_endpoint(number, EndpointHealth.READY, 0) for number in range(1, 9)])
    for step in steps:
        checker.now_ns += MILLISECOND_NS
        step.apply(checker)
        checker.fire_due_timers()
        checker.time_out_expired_attempts()
        checker.check_requests_without_attempt()
    return checker


@hypothesis_settings(max_examples=300, derandomize=True, deadline=None)
@given(SETTINGS, st.lists(STEPS, max_size=80))
def test_invariants_hold_on_any_legal_events(config: Settings, steps: list[Step]) -> None:
    run_steps(config, steps)


@hypothesis_settings(max_examples=30, derandomize=True, deadline=None)
@given(SETTINGS, st.lists(STEPS, max_size=40))
def test_same_events_give_the_same_actions(config: Settings, steps: list[Step]) -> None:
    first = run_steps(config, steps)
    second = run_steps(config, steps)
    assert first.listed.health_by_id == second.listed.health_by_id
    assert first.ledger.requests == second.ledger.requests
    assert first.balancer.admission.threshold == second.balancer.admission.threshold
    assert first.balancer.random.random() == second.balancer.random.random()


@pytest.mark.parametrize(
    "outcome",
    [
        AttemptOutcome.SERVER_ERROR,
        AttemptOutcome.CONNECT_FAILED,
        AttemptOutcome.TIMEOUT,
        AttemptOutcome.REJECTED,
        AttemptOutcome.CONNECTION_RESET,
    ],
)
def test_every_request_is_answered_while_all_endpoints_fail(outcome: AttemptOutcome) -> None:
    config = settings(
        request_class(),
        request_class(idempotency=Idempotency.NOT_IDEMPOTENT),
        slow_start_duration_ns=0,
        zone_count=2,
    )
    steps: list[Step] = [
        ReceiveRequest(index % 2, 2000) if index % 3 else CompleteAttempt(0, outcome) for index in range(200)
    ]
    checker = run_steps(config, [*steps, AdvanceClock(5000)])
    assert not checker.ledger.requests
    assert checker.final_response_count > 50
