"""Tests of the policy driver: the order of events and actions, and exceptions in the policy or an action."""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence

import pytest

from balancer.policy_api import (
    Action,
    AttemptCompleted,
    AttemptOutcome,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    FailRequest,
    RequestReceived,
    StartAttempt,
    TimerFired,
    WriteLog,
)
from balancer.sidecar.requests.action_executor import ActionExecutor
from balancer.sidecar.requests.event_queue import EventQueue
from balancer.sidecar.requests.policy_driver import PolicyDriver

ENDPOINT_ID = bytes.fromhex("bb231e58f91e4b5a")
REQUEST = RequestReceived(7, 0, 0, 0, 0, 0, False)
COMPLETED = AttemptCompleted(7, 0, ENDPOINT_ID, AttemptOutcome.TIMEOUT, 0, False, ())


class ScriptedPolicy:
    """A policy that decides with a function of the test, and records the events in their order."""

    def __init__(self, decide: Callable[[Event], Sequence[Action]]) -> None:
        self._decide = decide
        self.events: list[Event] = []

    def handle(self, _now_ns: int, event: Event) -> Sequence[Action]:
        """Record the event and return the actions that the function decides on."""
        self.events.append(event)
        return self._decide(event)


def make_queue(policy: ScriptedPolicy, executor: ActionExecutor) -> EventQueue:
    """Return a queue whose events go to this policy."""
    return EventQueue(PolicyDriver(policy, executor, lambda: 0).handle)


def test_event_of_an_action_is_handled_after_all_actions_are_carried_out() -> None:
    steps: list[str] = []
    executor = ActionExecutor()
    policy = ScriptedPolicy(lambda event: [WriteLog("first"), WriteLog("second")] if event == REQUEST else [])
    queue = make_queue(policy, executor)

    def record(action: WriteLog) -> None:
        queue.dispatch(TimerFired(len(steps)))
        steps.append(f"{action.text} after {len(policy.events)} events")

    executor.register(WriteLog, record)
    queue.dispatch(REQUEST)
    assert steps == ["first after 1 events", "second after 1 events"]
    assert policy.events == [REQUEST, TimerFired(0), TimerFired(1)]


def test_pending_endpoint_update_is_one_that_the_policy_has_not_seen() -> None:
    update = EndpointUpdate(EndpointUpdateKind.DELTA, ())
    results: list[bool] = []
    executor = ActionExecutor()
    policy = ScriptedPolicy(lambda event: [WriteLog("")] if event in (REQUEST, update) else [])
    queue = make_queue(policy, executor)

    def check_queue(_action: WriteLog) -> None:
        if policy.events == [REQUEST]:
            results.append(queue.has_pending_endpoint_update())
            queue.dispatch(update)
        results.append(queue.has_pending_endpoint_update())

    executor.register(WriteLog, check_queue)
    queue.dispatch(REQUEST)
    assert results == [False, True, False]


@pytest.mark.parametrize(
    ("event", "message"),
    [
        (REQUEST, "policy_failed event=RequestReceived request=7 endpoint=none error=RuntimeError"),
        (
            COMPLETED,
            "policy_failed event=AttemptCompleted request=7 endpoint=bb231e58f91e4b5a error=RuntimeError",
        ),
        (TimerFired(3), "policy_failed event=TimerFired request=none endpoint=none error=RuntimeError"),
    ],
)
def test_exception_in_the_policy_is_logged_with_its_request_and_endpoint(
    event: Event, message: str, caplog: pytest.LogCaptureFixture
) -> None:
    def fail(_event: Event) -> Sequence[Action]:
        raise RuntimeError("a test")

    policy = ScriptedPolicy(fail)
    queue = make_queue(policy, ActionExecutor())
    queue.dispatch(event)
    queue.dispatch(event)
    assert policy.events == [event, event]
    assert [record.getMessage() for record in caplog.records] == [message, message]
    assert {record.levelno for record in caplog.records} == {logging.ERROR}
    assert all(record.exc_info for record in caplog.records)


def test_exception_in_an_action_is_logged_and_does_not_prevent_the_next_one(
    caplog: pytest.LogCaptureFixture,
) -> None:
    failed: list[FailRequest] = []
    executor = ActionExecutor()
    executor.register(FailRequest, failed.append)
    policy = ScriptedPolicy(lambda _event: [StartAttempt(7, ENDPOINT_ID, 0), FailRequest(7)])
    make_queue(policy, executor).dispatch(REQUEST)
    assert failed == [FailRequest(7)]
    assert [record.getMessage() for record in caplog.records] == [
        "action_failed action=StartAttempt request=7 endpoint=bb231e58f91e4b5a error=KeyError"
    ]
