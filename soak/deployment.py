"""The deployment that a soak runs: classes of requests, rules and sizes, some of them drawn from the seed."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import Any

SECOND_NS = 1_000_000_000

ZONES = ("zone-a", "zone-b")
CELLS_PER_ZONE = 2
TENANTS = ("tenant-a", "tenant-b")

SAFE, KEYED, UNSAFE = "retryable", "dedup", "fragile"
"""What a second execution of a request would do, as the settings name it."""


@dataclass(frozen=True, slots=True)
class RequestKind:
    """A class of requests."""

    name: str
    effect: str
    objective_seconds: float
    timeout_seconds: float
    share: float
    """Of all requests."""
    late_worth: float = 0.3
    """Of an answer after the objective; where it is 0 an attempt is given up then."""
    key_scope: str = "all"
    window_seconds: float = 5.0


@dataclass(frozen=True, slots=True)
class Deployment:
    """What all processes of one soak have in common."""

    kinds: tuple[RequestKind, ...]
    sidecar_count: int
    server_count: int
    requests_per_second: float
    """Of one sidecar."""
    is_discovery_polled: bool
    drain_grace_seconds: float
    cold_share: float
    """The capacity of a server that has just started, as a share of its full capacity."""
    warm_up_seconds: float
    overload_multiple: float
    overload_window_seconds: float
    """A cold server that gets this many times its capacity for this long falls over."""
    server_requests_per_second: float
    """The full capacity of one server."""
    max_attempts: int = 4
    max_descriptors: int = 384
    memory_megabytes: int = 96

    @property
    def longest_timeout_seconds(self) -> float:
        """The longest time that any client waits."""
        return max(kind.timeout_seconds for kind in self.kinds)

    def warmth(self, age_seconds: float) -> float:
        """Return the capacity of a server of this age as a share of its full capacity."""
        share = min(1.0, age_seconds / self.warm_up_seconds)
        return self.cold_share + (1 - self.cold_share) * share

    def kind(self, name: str) -> RequestKind:
        """Return the class of this name."""
        return next(kind for kind in self.kinds if kind.name == name)

    def settings(self, position: int) -> dict[str, Any]:
        """Return the settings object of one sidecar, as its configuration has it."""
        return {
            "Azs": list(ZONES),
            "Kinds": ["kind"],
            "Categories": [_category(kind) for kind in self.kinds],
            "Orgs": [{"Name": name, "Portion": 0.5, "QuotaPerS": 1000.0} for name in TENANTS],
            "Limits": {
                "MaxAttempts": self.max_attempts,
                "Cancel": True,
                "Probes": True,
                "RetryAfter": True,
                "MaxRetryAfterNs": SECOND_NS,
                "ConnectTimeoutNs": 150_000_000,
                "ConnIdleNs": 6 * SECOND_NS,
                "ParallelTries": False,
            },
            "Rules": {
                "AnswerSlackNs": 20_000_000,
                "AskWithinNs": 3 * SECOND_NS,
                "DrainGraceNs": _nanoseconds(self.drain_grace_seconds),
                "ColdFrom": self.cold_share,
                "ColdNs": _nanoseconds(self.warm_up_seconds),
                "FallMultiple": self.overload_multiple,
                "FallNs": _nanoseconds(self.overload_window_seconds),
            },
            "Discovery": "on_request" if self.is_discovery_polled else "pushed",
            "Deductions": {"Connection": 0.06, "CrossZone": 0.016, "Handshake": 0.06, "Waste": 0.08},
            "Extra": {"WarmKeys": True},
            "NInstances": self.sidecar_count,
            "Position": position,
            "Zone": position % len(ZONES),
        }


def draw_deployment(random: Random) -> Deployment:
    """Draw a deployment: what differs between sites differs between seeds."""
    sidecar_count = random.randint(10, 18)
    return Deployment(
        kinds=(
            RequestKind("read", SAFE, 0.3, 1.2, share=0.4, late_worth=random.choice((0.0, 0.3))),
            RequestKind(
                "change",
                KEYED,
                0.3,
                random.choice((0.6, 1.0)),
                share=0.35,
                late_worth=random.choice((0.0, 0.3)),
                key_scope=random.choice(("all", "zone", "cell")),
                window_seconds=random.choice((0.3, 0.75)),
            ),
            RequestKind("invoice", UNSAFE, 0.6, random.choice((1.5, 2.5)), share=0.25),
        ),
        sidecar_count=sidecar_count,
        server_count=8,
        requests_per_second=190 / sidecar_count,
        is_discovery_polled=random.random() < 0.25,
        drain_grace_seconds=random.choice((0.5, 1.0)),
        # Tighter than any site, where the multiple is 3. Idle servers are preferred and a cold one is slow:
        # even without slow start it gets less than others, and its budget has to tell the two apart.
        cold_share=0.05,
        warm_up_seconds=9.0,
        overload_multiple=0.9,
        overload_window_seconds=3.0,
        server_requests_per_second=40.0,
    )


def _category(kind: RequestKind) -> dict[str, Any]:
    return {
        "Name": kind.name,
        "Effect": kind.effect,
        "AimNs": _nanoseconds(kind.objective_seconds),
        "HardLimitNs": _nanoseconds(kind.timeout_seconds),
        "Importance": 5.0 if kind.effect == UNSAFE else 3.0,
        "LateWorth": kind.late_worth,
        "KeyScope": kind.key_scope,
        "WindowNs": _nanoseconds(kind.window_seconds),
        "Stream": False,
    }


def _nanoseconds(seconds: float) -> int:
    return int(seconds * SECOND_NS)
