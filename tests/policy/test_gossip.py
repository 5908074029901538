"""Tests of `balancer.policy.overload.gossip`: what sidecars share, and malformed messages."""

from __future__ import annotations

import pytest

from balancer.policy_api import GossipReceived, SendGossip, StartAttempt
from tests.builders import two_priority_settings
from tests.policy.harness import BalancerHarness, actions_of


def test_sidecars_share_evidence_and_the_threshold() -> None:
    """A restarted sidecar takes over the threshold of the others."""
    running = BalancerHarness(two_priority_settings(gossip_enabled=True, instance_count=2, instance_index=0))
    restarted = BalancerHarness(
        two_priority_settings(gossip_enabled=True, instance_count=2, instance_index=1)
    )
    for _ in range(5):
        running.tick()
    running.serve_requests(10)
    running.balancer.admission.threshold = 77.0
    [message] = actions_of(SendGossip, running.tick(0.01))
    assert message.recipient_index == 1
    assert len(message.payload) <= 256
    restarted.handle(GossipReceived(0, message.payload))
    assert restarted.threshold == pytest.approx(running.threshold)
    assert restarted.balancer.overload.queueing.evidence[0].sample_count > 0


@pytest.mark.parametrize("payload", [b"", b"x" * 5, b"\xff" * 256, bytes(range(200))])
def test_malformed_payload_is_ignored(payload: bytes) -> None:
    harness = BalancerHarness(two_priority_settings(gossip_enabled=True, instance_count=2))
    harness.handle(GossipReceived(1, payload))
    message_bytes = harness.balancer.gossip.codec.message_bytes
    harness.handle(GossipReceived(1, (payload * 50)[:message_bytes].ljust(message_bytes, b"\xff")))
    assert 0 <= harness.threshold < 1
    assert all(abs(value) < 1e6 for value in harness.balancer.overload.queueing.evidence[0].values())
    assert isinstance(harness.request(), StartAttempt)
