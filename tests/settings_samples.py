"""Settings in the JSON form that the simulator and the sidecar's configuration share."""

from __future__ import annotations

MINIMAL_SETTINGS: dict[str, object] = {
    "Categories": [{"AimNs": 5, "HardLimitNs": 9, "Effect": "dedup", "KeyScope": "cell", "Importance": 2}]
}
"""Valid settings with only the keys that are required, and those of one class of requests."""
