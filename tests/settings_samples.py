"""Settings in their JSON form, which the simulator and the configuration of the sidecar share."""

from __future__ import annotations

MINIMAL_SETTINGS: dict[str, object] = {
    "Categories": [{"AimNs": 5, "HardLimitNs": 9, "Effect": "dedup", "KeyScope": "cell", "Importance": 2}]
}
"""Valid settings with no more than the required keys, and one request class."""
