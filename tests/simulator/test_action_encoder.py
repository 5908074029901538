"""Test of the action encoder against a reply written by hand according to the simulator's manual."""

from __future__ import annotations

from balancer.policy_api import Action, SetTimer, StartAttempt, WriteLog
from balancer.simulator import frames
from balancer.simulator.action_encoder import encode_action
from tests.simulator.wire_samples import SAMPLE_REPLY, request_id


def test_documented_reply_is_encoded() -> None:
    actions: list[Action] = [
        StartAttempt(request_id("c4913a5dfa790900"), bytes.fromhex("0a124a078b13"), 80_000_000),
        SetTimer(500_000_000, 77),
        WriteLog("two servers known"),
    ]
    assert frames.encode_reply([encode_action(3, action) for action in actions]) == SAMPLE_REPLY
