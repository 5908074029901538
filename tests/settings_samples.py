"""Sample settings in JSON form, as the simulator and the configuration file of a sidecar have them."""

from __future__ import annotations

MINIMAL_SETTINGS: dict[str, object] = {
    "Categories": [{"AimNs": 5, "HardLimitNs": 9, "Effect": "dedup", "KeyScope": "cell", "Importance": 2}]
}
"""Valid settings with one request class and few keys beyond the required ones."""
