"""Tests of `balancer.policy.timer_tokens`: which integers stand for which timers."""

from __future__ import annotations

import pytest

from balancer.policy.timer_tokens import CONTROL_CYCLE_TOKEN, decode_probe_round, encode_probe_round


def test_control_cycle_has_token_zero() -> None:
    assert CONTROL_CYCLE_TOKEN == 0


@pytest.mark.parametrize("request_id", [0, 1, 2**40])
def test_probe_round_token_follows_the_request_id(request_id: int) -> None:
    token = encode_probe_round(request_id)
    assert token == request_id + 1
    assert token != CONTROL_CYCLE_TOKEN
    assert decode_probe_round(token) == request_id
