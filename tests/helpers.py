"""Earlier names of `tests.builders` and `tests.policy.harness`, for `tests/test_discovery.py` alone."""

from __future__ import annotations

from balancer.policy_api import Action, Event
from balancer.time_units import SECOND_NS as SECOND
from tests.builders import settings
from tests.policy.harness import BalancerHarness

__all__ = ["SECOND", "Bench", "settings"]


class Bench(BalancerHarness):
    """A `BalancerHarness` by its earlier name."""

    def give(self, event: Event) -> list[Action]:
        """Deliver an event at the current time."""
        return self.handle(event)
