"""The deployment that a soak runs: request classes, sizes and limits, some of them drawn from the seed."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from random import Random

ZONES = ("zone-a", "zone-b")
"""The zones; there are two, so that some traffic crosses zones."""
CELLS_PER_ZONE = 2
"""Cells; there are two in each zone, so that deduplication by zone and by cell differ."""
TENANTS = ("tenant-a", "tenant-b")
"""The tenants of the requests, drawn with equal probability."""

MIN_SIDECARS = 10
"""Processes; from this number on the quota of each is small enough for their choices to collide."""
MAX_SIDECARS = 18
"""Processes; with more of them, a machine with a few cores does not meet the time limits."""
SERVER_COUNT = 8
"""Account servers: two in each cell of each zone."""
FLEET_REQUESTS_PER_SECOND = 190
"""Requests per second of all clients: 60 % of the capacity of all servers, so that losing some matters."""
SERVER_REQUESTS_PER_SECOND = 40.0
"""Requests per second that one server can process once it has warmed up."""
POLLED_DISCOVERY_PROBABILITY = 0.25
"""Probability that sidecars poll for the endpoint list instead of watching it."""
DRAIN_GRACE_CHOICES_SECONDS = (0.5, 1.0)
"""Seconds for which requests may still go to a draining server."""
LATE_RESPONSE_VALUES = (0.0, 0.3)
"""Value of a response after the latency objective, as a share of the value of one in time."""
INITIAL_CAPACITY_SHARE = 0.05
"""Share of its capacity that a server starts with."""
WARM_UP_SECONDS = 9.0
"""Seconds that a server takes to reach its full capacity."""
OVERLOAD_MULTIPLE = 0.9
"""Multiple of its capacity at which a warming server fails under overload.

It is lower than at any site, where it is 3. Sidecars prefer idle servers and a warming server is slow, so
even without slow start it gets fewer requests than the others. Its budget has to be small enough to
distinguish sidecars with slow start from sidecars without it.
"""
OVERLOAD_WINDOW_SECONDS = 3.0
"""Seconds for which a warming server has to be overloaded before it fails."""


class Idempotency(StrEnum):
    """Whether a request may be executed a second time; the values are those of the settings."""

    IDEMPOTENT = "retryable"
    IDEMPOTENCY_KEY = "dedup"
    NOT_IDEMPOTENT = "fragile"


class DeduplicationScope(StrEnum):
    """Which account servers drop duplicates of a request with an idempotency key.

    The values are those of the settings.
    """

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests with the same idempotency, latency objective and longest timeout."""

    name: str
    idempotency: Idempotency
    latency_objective_seconds: float
    """The latency objective."""
    timeout_seconds: float
    """The longest time that a client waits for a response."""
    share: float
    """Share of all requests that are of this class."""
    late_response_value: float = 0.3
    """Value of a response after the latency objective; if it is 0, an attempt is cancelled at that time."""
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_seconds: float = 5.0
    """How long account servers remember an idempotency key."""

    @property
    def is_always_safe_to_retry(self) -> bool:
        """Whether a retry is safe at every account server."""
        if self.idempotency == Idempotency.IDEMPOTENCY_KEY:
            return self.deduplication_scope == DeduplicationScope.ALL
        return self.idempotency == Idempotency.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class Deployment:
    """What all processes of one soak have in common."""

    request_classes: tuple[RequestClass, ...]
    sidecar_count: int
    server_count: int
    requests_per_second: float
    """Requests per second of the clients of one sidecar."""
    is_discovery_polled: bool
    """Whether sidecars poll for the endpoint list instead of watching it."""
    drain_grace_seconds: float
    """How long requests may still go to a draining server."""
    initial_capacity_share: float
    """Share of its full capacity that a server has when it starts."""
    warm_up_seconds: float
    """How long a server takes to reach its full capacity."""
    overload_multiple: float
    overload_window_seconds: float
    """A warming server fails when it gets `overload_multiple` times its capacity for this long."""
    server_requests_per_second: float
    """The full capacity of one server, in requests per second."""
    max_attempts: int = 4
    """Attempts of one request, at most."""
    max_descriptors: int = 384
    """Open descriptors of one sidecar process, at most."""
    memory_megabytes: int = 96
    """Memory of one sidecar process, at most."""

    @property
    def longest_timeout_seconds(self) -> float:
        """The longest time that any client waits."""
        return max(request_class.timeout_seconds for request_class in self.request_classes)

    def capacity_share(self, age_seconds: float) -> float:
        """Return the capacity of a server of this age as a share of its full capacity."""
        progress = min(1.0, age_seconds / self.warm_up_seconds)
        return self.initial_capacity_share + (1 - self.initial_capacity_share) * progress

    def request_class(self, name: str) -> RequestClass:
        """Return the request class of this name."""
        return next(request_class for request_class in self.request_classes if request_class.name == name)


def draw_deployment(random: Random) -> Deployment:
    """Draw a deployment; what differs between sites differs between seeds."""
    sidecar_count = random.randint(MIN_SIDECARS, MAX_SIDECARS)
    request_classes = _draw_request_classes(random)
    return Deployment(
        request_classes=request_classes,
        sidecar_count=sidecar_count,
        server_count=SERVER_COUNT,
        requests_per_second=FLEET_REQUESTS_PER_SECOND / sidecar_count,
        is_discovery_polled=random.random() < POLLED_DISCOVERY_PROBABILITY,
        drain_grace_seconds=random.choice(DRAIN_GRACE_CHOICES_SECONDS),
        initial_capacity_share=INITIAL_CAPACITY_SHARE,
        warm_up_seconds=WARM_UP_SECONDS,
        overload_multiple=OVERLOAD_MULTIPLE,
        overload_window_seconds=OVERLOAD_WINDOW_SECONDS,
        server_requests_per_second=SERVER_REQUESTS_PER_SECOND,
    )


def _draw_request_classes(random: Random) -> tuple[RequestClass, ...]:
    """Draw a request class for each kind of idempotency; the order of the draws decides what a seed gives."""
    read = RequestClass(
        name="read",
        idempotency=Idempotency.IDEMPOTENT,
        latency_objective_seconds=0.3,
        timeout_seconds=1.2,
        share=0.4,
        late_response_value=random.choice(LATE_RESPONSE_VALUES),
    )
    change = RequestClass(
        name="change",
        idempotency=Idempotency.IDEMPOTENCY_KEY,
        latency_objective_seconds=0.3,
        timeout_seconds=random.choice((0.6, 1.0)),
        share=0.35,
        late_response_value=random.choice(LATE_RESPONSE_VALUES),
        deduplication_scope=random.choice(list(DeduplicationScope)),
        deduplication_window_seconds=random.choice((0.3, 0.75)),
    )
    invoice = RequestClass(
        name="invoice",
        idempotency=Idempotency.NOT_IDEMPOTENT,
        latency_objective_seconds=0.6,
        timeout_seconds=random.choice((1.5, 2.5)),
        share=0.25,
    )
    return read, change, invoice
