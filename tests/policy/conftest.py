"""Fixtures of the tests of the policy."""

from __future__ import annotations

import pytest

from tests.builders import two_priority_settings
from tests.policy.harness import BalancerHarness

# pytest shows the compared values only for assertions in test modules and in the modules registered here.
pytest.register_assert_rewrite(
    "tests.policy.execution_invariants",
    "tests.policy.invariant_checker",
    "tests.policy.listed_endpoints",
    "tests.policy.request_ledger",
)


@pytest.fixture
def harness() -> BalancerHarness:
    """A balancer with six endpoints and two classes: low priority at index 0, high priority at index 1."""
    return BalancerHarness(two_priority_settings())
