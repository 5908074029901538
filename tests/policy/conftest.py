"""Fixtures of the tests of the decisions."""

from __future__ import annotations

import pytest

from tests.builders import two_priority_settings
from tests.policy.harness import BalancerHarness


@pytest.fixture
def harness() -> BalancerHarness:
    """A balancer with six endpoints and two classes: low priority at index 0, high priority at index 1."""
    return BalancerHarness(two_priority_settings())
