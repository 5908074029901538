"""The policy of a sidecar: it handles one event at a time. Its interface is balancer/policy_api.py.

A request is normally sent to an idle endpoint of a small subset, unless admission control rejects it; see
docs/design.md. All times are integers in nanoseconds, read from the clock that comes with each event.
"""

from collections.abc import Callable
from random import Random

from balancer import policy_api as api
from balancer.policy.endpoints.discovery_polling import MIN_RETRY_DELAY_SHARE
from balancer.policy.endpoints.endpoint_maintenance import EndpointMaintenance
from balancer.policy.endpoints.health_checks import HealthCheckHandler
from balancer.policy.endpoints.membership import Membership
from balancer.policy.endpoints.outlier_detection import OutlierDetector
from balancer.policy.overload.admission import AdmissionControl
from balancer.policy.overload.control_cycle import ControlCycle
from balancer.policy.overload.detector import OverloadDetector
from balancer.policy.overload.gossip import Gossip
from balancer.policy.overload.measurement_cycle import CYCLE_NS
from balancer.policy.requests.attempt_completions import AttemptCompletionHandler
from balancer.policy.requests.attempt_dispatcher import AttemptDispatcher
from balancer.policy.requests.hung_attempts import HungAttempts
from balancer.policy.requests.outcome_recorder import OutcomeRecorder
from balancer.policy.requests.request_arrivals import RequestArrivalHandler
from balancer.policy.requests.request_state import RequestState
from balancer.policy.requests.retry import RetryPolicy
from balancer.policy.requests.running_attempts import RunningAttemptSampler
from balancer.policy.selection.attempt_accounting import AttemptAccounting
from balancer.policy.selection.connection_budget import ConnectionBudget
from balancer.policy.selection.endpoint_picker import EndpointPicker
from balancer.policy.selection.load_probing import LoadProbing
from balancer.policy.selection.probe_rounds import ProbeRounds
from balancer.policy.selection.subset import SubsetSelector
from balancer.policy.selection.zone_router import ZoneRouter
from balancer.policy.timer_tokens import CONTROL_CYCLE_TOKEN, TimerToken, decode_probe_round


class Balancer:
    """Passes each event of one sidecar to the component that handles it, and returns the actions."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self._actions: list[api.Action] = []
        """The actions for the current event so far; the components append to this list."""
        self.random = Random(seed)
        self.requests: dict[int, RequestState] = {}
        """The requests that await their final response, by id."""

        self.membership = Membership(settings, self.random)
        self.overload = OverloadDetector(settings)
        self.admission = AdmissionControl(settings)
        self.gossip = Gossip(settings, self.random, self.admission, self.overload)
        self.budget = ConnectionBudget(settings.instance_count)
        self.accounting = AttemptAccounting(settings.streams_per_connection)
        self.subsets = SubsetSelector(settings, self.random, self.accounting, self.budget)
        self.outliers = OutlierDetector(settings, self.random, self.subsets)
        self.picker = EndpointPicker(settings, self.subsets, self.overload.latency)
        self.router = ZoneRouter(self.random, self.subsets, self.picker, self.overload)
        self.load_probing = LoadProbing(settings, self.random, self.subsets, self.picker)
        self.retry = RetryPolicy(settings, self.overload, self.load_probing)
        self.hung_attempts = HungAttempts(settings, self.random, self.overload, self.retry)
        self.outcomes = OutcomeRecorder(
            settings, self.overload, self.subsets, self.budget, self.outliers, self.hung_attempts
        )
        self.maintenance = EndpointMaintenance(self.membership, self.accounting, self.subsets, self.outliers)
        self.control_cycle = ControlCycle(
            self._actions,
            self.overload,
            self.admission,
            self.gossip,
            self.subsets,
            self.budget,
            RunningAttemptSampler(self.requests, self._actions, self.overload, self.hung_attempts),
        )
        self.dispatcher = AttemptDispatcher(
            self.requests,
            self._actions,
            self.accounting,
            self.subsets,
            self.overload,
            self.retry,
            self.control_cycle,
        )
        self.probe_rounds = ProbeRounds(
            self.requests, self._actions, self.subsets, self.load_probing, self.router, self.dispatcher
        )
        self._handlers = self._build_handlers(settings)

    def handle(self, now_ns: int, event: api.Event) -> list[api.Action]:
        """Handle one event and return the resulting actions."""
        handler = self._handlers.get(type(event))
        if handler:
            handler(now_ns, event)
        actions = self._actions.copy()
        self._actions.clear()
        return actions

    def _build_handlers(self, settings: api.Settings) -> dict[type, Callable[..., None]]:
        """Return the handler for each type of event; a handler takes the time and the event."""
        arrivals = RequestArrivalHandler(
            settings.classes,
            self.requests,
            self.overload,
            self.admission,
            self.retry,
            self.router,
            self.dispatcher,
            self.probe_rounds,
        )
        completions = AttemptCompletionHandler(
            self.requests,
            self.membership,
            self.accounting,
            self.outcomes,
            self.retry,
            self.router,
            self.dispatcher,
        )
        health_checks = HealthCheckHandler(
            self.membership, self.subsets, self.outliers, self.load_probing, self.probe_rounds
        )
        return {
            api.Started: self._on_started,
            api.EndpointUpdate: self._on_endpoint_update,
            api.RequestReceived: arrivals.handle,
            api.AttemptCompleted: completions.handle,
            api.ClientDisconnected: self._on_response_not_needed,
            api.StreamStarted: self._on_response_not_needed,
            api.TimerFired: self._on_timer,
            api.GossipReceived: self.gossip.merge,
            api.HealthCheckCompleted: health_checks.handle,
        }

    def _on_started(self, now_ns: int, _event: api.Started) -> None:
        self.overload.measurement_cycle.started_at_ns = now_ns
        self.membership.polling.schedule(now_ns)
        delay_ns = 1 + int(self.random.random() * CYCLE_NS)
        self._actions.append(api.SetTimer(delay_ns, CONTROL_CYCLE_TOKEN))

    def _on_endpoint_update(self, now_ns: int, event: api.EndpointUpdate) -> None:
        if event.kind == api.EndpointUpdateKind.DISCOVERY_FAILED:
            self.membership.polling.schedule(now_ns, MIN_RETRY_DELAY_SHARE)
        else:
            self.membership.apply(event)
            self.subsets.set_ranking(self.membership.ranked_endpoints())

    def _on_timer(self, now_ns: int, event: api.TimerFired) -> None:
        token = TimerToken(event.token)
        if token != CONTROL_CYCLE_TOKEN:
            self.probe_rounds.end_by_timer(decode_probe_round(token), now_ns)
            return
        self._actions.append(api.SetTimer(CYCLE_NS, CONTROL_CYCLE_TOKEN))
        self._actions += self.maintenance.run(self.overload.is_overloaded, now_ns)
        self.control_cycle.run(now_ns)

    def _on_response_not_needed(
        self, _now_ns: int, event: api.ClientDisconnected | api.StreamStarted
    ) -> None:
        """Forget a request that needs no final response; a stream has no deadline and is never retried."""
        self.requests.pop(event.request_id, None)
