"""The scenarios of the characterization test: settings, load and phases of faults."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from balancer.policy_api import DeduplicationScope, Idempotency, RequestClass, Settings
from balancer.time_units import MILLISECOND_NS, SECOND_NS


class Phase(StrEnum):
    """The fault of the account servers during a phase. All but the first two affect only some of them."""

    STEADY_STATE = "calm"
    OVERLOAD = "overload"
    SLOW = "slow"
    SERVER_ERRORS = "erring"
    UNREACHABLE = "unreachable"
    RESETS = "resets"
    REJECTING = "rejecting"
    HANGING_CLASS = "hanging_class"
    """The requests of the first class get no response."""
    RESTART = "restart"
    DRAIN = "drain"
    UNRESPONSIVE = "silent"


ALL_PHASES = tuple(Phase)

READ = RequestClass(
    "read",
    latency_objective_ns=300 * MILLISECOND_NS,
    client_timeout_ns=1500 * MILLISECOND_NS,
    priority_weight=1.0,
    late_answer_value=0.5,
)
BROWSE = RequestClass(
    "browse",
    latency_objective_ns=150 * MILLISECOND_NS,
    client_timeout_ns=600 * MILLISECOND_NS,
    priority_weight=0.3,
)
CHANGE = RequestClass(
    "change",
    latency_objective_ns=500 * MILLISECOND_NS,
    client_timeout_ns=2500 * MILLISECOND_NS,
    priority_weight=3.0,
    late_answer_value=0.0,
    idempotency=Idempotency.IDEMPOTENCY_KEY,
    deduplication_scope=DeduplicationScope.ZONE,
    deduplication_window_ns=900 * MILLISECOND_NS,
)
MOVE = RequestClass(
    "move",
    latency_objective_ns=400 * MILLISECOND_NS,
    client_timeout_ns=2000 * MILLISECOND_NS,
    priority_weight=3.0,
    late_answer_value=0.2,
    idempotency=Idempotency.IDEMPOTENCY_KEY,
    deduplication_scope=DeduplicationScope.CELL,
    deduplication_window_ns=5 * SECOND_NS,
)
BILL = RequestClass(
    "bill",
    latency_objective_ns=600 * MILLISECOND_NS,
    client_timeout_ns=3000 * MILLISECOND_NS,
    priority_weight=6.0,
    late_answer_value=0.1,
    idempotency=Idempotency.NOT_IDEMPOTENT,
)
SEARCH = RequestClass(
    "search",
    latency_objective_ns=2 * SECOND_NS,
    client_timeout_ns=3 * SECOND_NS,
    priority_weight=1.0,
    late_answer_value=0.5,
)
CLASSES = (READ, BROWSE, CHANGE, MOVE, BILL)


@dataclass(frozen=True)
class Scenario:
    """The settings, load and phases from which one recorded stream of actions results."""

    settings: Settings
    seed: int
    balancer_count: int = 1
    requests_per_second: float = 120.0
    """Rate of requests at each balancer."""
    short_timeout_share: float = 0.02
    """Share of the clients whose timeout is shorter than a response takes."""
    phases: tuple[Phase, ...] = ALL_PHASES
    phase_ns: int = 3 * SECOND_NS
    """Length of a phase."""


SCENARIOS = {
    "one_zone": Scenario(
        Settings(CLASSES, slow_start_capacity=0.3, slow_start_duration_ns=6 * SECOND_NS, max_attempts=5),
        seed=1,
    ),
    "three_zones_priced": Scenario(
        Settings(
            CLASSES,
            instance_index=3,
            instance_count=40,
            zone_count=3,
            slow_start_capacity=0.4,
            slow_start_duration_ns=8 * SECOND_NS,
            max_attempts=4,
            attempts_can_be_cancelled=True,
            cross_zone_price=0.05,
            handshake_price=0.06,
            connection_price=0.06,
            max_retry_after_ns=3 * SECOND_NS,
        ),
        seed=2,
        requests_per_second=60.0,
    ),
    "polled_lists_and_health_checks": Scenario(
        Settings(
            CLASSES,
            polls_discovery=True,
            discovery_poll_window_ns=2 * SECOND_NS,
            max_attempts=3,
            health_checks_enabled=True,
            attempts_can_be_cancelled=True,
            zone_count=2,
            cross_zone_price=0.02,
            slow_start_capacity=0.2,
            slow_start_duration_ns=5 * SECOND_NS,
        ),
        seed=3,
    ),
    "active_probing_of_load": Scenario(
        Settings(
            CLASSES,
            health_checks_enabled=True,
            load_report_fields=("rif", "lat_ms"),
            zone_count=2,
            slow_start_capacity=0.3,
            slow_start_duration_ns=6 * SECOND_NS,
            max_attempts=4,
            scheduling_tick_ns=4 * MILLISECOND_NS,
            max_retry_after_ns=SECOND_NS,
        ),
        seed=4,
    ),
    "gossip": Scenario(
        Settings(
            CLASSES,
            instance_count=3,
            zone_count=2,
            gossip_enabled=True,
            max_attempts=3,
            attempts_can_be_cancelled=True,
            cross_zone_price=0.1,
        ),
        seed=5,
        balancer_count=3,
        requests_per_second=40.0,
    ),
    "key_affinity_few_connections": Scenario(
        Settings(
            CLASSES,
            instance_index=7,
            instance_count=60,
            zone_count=2,
            key_affinity=True,
            connection_price=0.1,
            max_attempts=5,
            attempts_can_be_cancelled=True,
            slow_start_capacity=0.5,
            slow_start_duration_ns=4 * SECOND_NS,
        ),
        seed=6,
    ),
    "streams_and_hurried_clients": Scenario(
        Settings(
            (READ, BROWSE, BILL),
            streams_per_connection=4,
            max_attempts=5,
            attempts_can_be_cancelled=True,
            health_checks_enabled=True,
        ),
        seed=7,
        short_timeout_share=0.3,
    ),
    "hanging_calls": Scenario(
        Settings((SEARCH, READ, CHANGE), max_attempts=5, attempts_can_be_cancelled=True),
        seed=9,
        requests_per_second=250.0,
        phases=(Phase.HANGING_CLASS,),
        phase_ns=SECOND_NS,
    ),
    "lasting_overload": Scenario(
        Settings(
            CLASSES,
            max_attempts=5,
            attempts_can_be_cancelled=True,
            max_retry_after_ns=4 * SECOND_NS,
            zone_count=2,
        ),
        seed=8,
        requests_per_second=500.0,
    ),
}
