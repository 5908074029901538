"""Characterization of the policy: the same settings, seed and events give the same actions, bit for bit.

A seeded driver simulates clients, account servers, discovery and other sidecars for the policy. Every action
is reduced to its position in ACTION_TYPES and to plain numbers and bytes, so that renaming or moving code
cannot change the digest of the stream. The digests in digests.json were recorded with CPython 3.11 by

    python -m tests.policy.test_characterization > tests/policy/digests.json

They change only when a decision of the policy changes.
"""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from balancer.policy_api import FetchEndpoints, WriteLog
from tests.policy.characterization_driver import ACTION_TYPES, CharacterizationDriver
from tests.policy.characterization_scenarios import SCENARIOS

DIGEST_FILE = Path(__file__).with_name("digests.json")


def digests() -> dict[str, str]:
    return {name: CharacterizationDriver(scenario).run() for name, scenario in SCENARIOS.items()}


@pytest.mark.parametrize("name", SCENARIOS)
def test_actions_match_the_recorded_digest(name: str) -> None:
    recorded = json.loads(DIGEST_FILE.read_text())
    assert CharacterizationDriver(SCENARIOS[name]).run() == recorded[name]


def test_scenarios_produce_every_action_of_the_policy() -> None:
    never_taken = {FetchEndpoints, WriteLog}
    totals = dict.fromkeys(ACTION_TYPES, 0)
    for scenario in SCENARIOS.values():
        driver = CharacterizationDriver(scenario)
        driver.run()
        for action_type, times in zip(ACTION_TYPES, driver.action_counts, strict=True):
            totals[action_type] += times
    assert {action_type for action_type, times in totals.items() if not times} == never_taken


if __name__ == "__main__":
    print(json.dumps(digests(), indent=2))
