"""The decisions of a sidecar, one event at a time. Their interface is balancer/policy_api.py.

Ordinarily admission control rejects a request unsent, or it goes to an idle endpoint of a small subset; see
docs/design.md for more. All times are integer nanoseconds of the clock that comes with each event.
"""

from collections.abc import Callable
from random import Random

from balancer import policy_api as api
from balancer.policy import load_probing, membership, outlier_detection, overload, retry, slow_start, subset
from balancer.policy.admission import AdmissionControl
from balancer.policy.endpoint_state import EndpointState
from balancer.policy.gossip import Gossip
from balancer.policy.request_state import RequestState
from balancer.policy_api import AttemptOutcome

CYCLE_TIMER_TOKEN = 0
MAX_DELAY = 2.0  # share of the slack that the delay of an answer counts for at most
OVERLOADED = (AttemptOutcome.TIMEOUT, AttemptOutcome.REJECTED)  # unless the endpoint is ejected


class Balancer:
    """Takes the events of one sidecar and decides what it does."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings, self.random = settings, Random(seed)
        self.requests: dict[int, RequestState] = {}
        self.membership = membership.Membership(settings, self.random)
        self.overload = overload.OverloadDetector(settings)
        self.admission = AdmissionControl(settings)
        self.subsets = subset.SubsetSelector(settings, self.random)
        self.outliers = outlier_detection.OutlierDetector(settings, self.random, self.subsets)
        self.picker = subset.EndpointPicker(settings, self.subsets, self.overload.latency)
        self.load_probing = load_probing.LoadProbing(settings, self.random, self.subsets, self.picker)
        self.retry = retry.RetryPolicy(settings, self.random, self.overload, self.load_probing)
        self.gossip = Gossip(settings, self.random, self.admission, self.overload)
        self._actions: list[api.Action] = []
        self._handlers: dict[type, Callable[..., None]] = {
            api.Started: self._on_started,
            api.EndpointUpdate: self._on_endpoint_update,
            api.RequestReceived: self._on_request,
            api.AttemptCompleted: self._on_attempt_completed,
            api.ClientDisconnected: self._on_request_gone,
            api.TimerFired: self._on_timer,
            api.StreamStarted: self._on_request_gone,
            api.GossipReceived: self.gossip.merge,
            api.HealthCheckCompleted: self._on_health_check,
        }

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Take one event and return the actions that answer it."""
        handler = self._handlers.get(type(event))
        if handler:
            handler(now, event)
        actions, self._actions = self._actions, []
        return actions

    def _on_started(self, now: int, _event: api.Started) -> None:
        self.overload.cycle_started_at_ns = now
        self.membership.schedule_poll(now)
        delay_ns = 1 + int(self.random.random() * overload.CYCLE_NS)
        self._actions.append(api.SetTimer(delay_ns, CYCLE_TIMER_TOKEN))

    def _on_endpoint_update(self, now: int, event: api.EndpointUpdate) -> None:
        if event.kind == api.EndpointUpdateKind.DISCOVERY_FAILED:
            self.membership.schedule_poll(now, membership.RETRY_MIN_DELAY)
        else:
            self.membership.apply(event)
            self.subsets.use_ranking(self.membership.ranked_endpoints())

    def _on_timer(self, now: int, event: api.TimerFired) -> None:
        if event.token != CYCLE_TIMER_TOKEN:
            request = self.requests.get(event.token - load_probing.PROBE_TIMER_OFFSET)
            if request is not None and not request.attempt_count:
                self._end_probe_round(request, now)
            return
        self._actions.append(api.SetTimer(overload.CYCLE_NS, CYCLE_TIMER_TOKEN))
        self.subsets.end_cycle(self.overload.is_overloaded, now)
        self._actions += map(api.CloseIdleConnections, self.subsets.take_surplus_connections())
        to_check = self.outliers.check(self.membership.endpoints.values(), now)
        self._actions += map(api.StartHealthCheck, to_check)
        if self.membership.should_poll(now):
            self._actions.append(api.WatchEndpoints(True))
        self.end_cycle(now)

    def end_cycle(self, now: int) -> None:
        """Adjust admission by the evidence of the cycle, unless there is too little of it yet."""
        for request in self.requests.values():
            self._sample_running_attempt(request, now)
        if self.overload.may_await_samples(now):
            self._actions += self.gossip.share()
            return
        self.adjust_load(now)
        self.subsets.increase_fan_in()
        self.admission.end_cycle()
        self.overload.end_cycle(now)
        self._actions += self.gossip.share()
        self.gossip.cycle_count += 1

    def adjust_load(self, now: int) -> None:
        """Move the spillover to other zones, then the admission threshold."""
        detector = self.overload
        detector.update_estimate(bool(self.subsets.remote.ranked), now)
        shed_share = self.admission.adjust(detector.queueing_delay, detector.threshold, detector.answer_ratio)
        detector.discount_attempts(shed_share)

    def _sample_running_attempt(self, request: RequestState, now: int) -> None:
        """Take in the delay so far: queues that build at once show before their first late answer."""
        endpoint = request.endpoint
        if endpoint is None or endpoint.ejected_until_ns > now:
            return  # what is ejected says nothing of the others' load
        delay = min(1.0, self.overload.latency.queueing_delay(request, now - request.attempt_started_at_ns))
        if delay <= self.overload.threshold:
            return
        if not retry.is_overtaken(request):
            self.overload.record_delay(endpoint, request, max(delay, request.recorded_delay))
        elif self.retry.cancels_hung(endpoint, request, delay, now):
            self._actions.append(api.CancelAttempt(request.id, request.attempt_count - 1))

    def _on_request(self, now: int, event: api.RequestReceived) -> None:
        request_class = self.settings.classes[event.class_index]
        request = RequestState(event, request_class, now)
        self.requests[request.id] = request
        self.overload.record_request(request_class)
        priority = self.admission.classify(event, now)
        if event.expires_at_ns <= now or self.retry.is_too_late_to_count(event, now):
            self._give_final_answer(request, now)
        elif priority < self.admission.threshold:
            self.subsets.refresh(now)  # warming endpoints get what they have earned: the queues are elsewhere
            endpoint = self.subsets.local.allowance.take(now)
            if endpoint is None and self._may_cross(request):
                endpoint = self.subsets.remote.allowance.take(now)
            self._start_attempt(request, endpoint, now)
        else:
            self.retry.record_admission()
            if not self.load_probing.is_enabled or not self._start_probe_round(request, now):
                self._send(request, now)

    def _may_cross(self, request: RequestState) -> bool:
        return bool(self.subsets.remote.members) and self.overload.is_worth_crossing(request.request_class)

    def _send(self, request: RequestState, now: int) -> None:
        self.subsets.refresh(now)
        local, remote = self.subsets.local, self.subsets.remote
        may_cross = self._may_cross(request)
        crosses = may_cross and (not local.members or self.random.random() < self.overload.spillover_ratio)
        zone = remote if crosses else local
        is_first = not request.attempt_count and not request.probe
        endpoint = zone.allowance.take(now) if is_first else None
        endpoint = endpoint or self.picker.pick(zone, request, now)
        if may_cross and not crosses:
            other = self.picker.pick(remote, request, now)
            index = request.class_index
            if endpoint is None or (other and self.picker.prefers_remote(other, endpoint, index, now)):
                endpoint = other
        self._start_attempt(request, endpoint, now)

    def _start_attempt(self, request: RequestState, endpoint: EndpointState | None, now: int) -> None:
        """Start an attempt; with no endpoint for it the request gets its final answer."""
        if endpoint is None:
            self._give_final_answer(request, now)
            return
        request.endpoint, request.attempt_started_at_ns = endpoint, now
        request.recorded_delay, request.is_hung = 0.0, False
        request.attempt_count += 1
        request.needs_connection = self.subsets.start_attempt(endpoint, self.overload.is_overloaded, now)
        self.overload.record_attempt(endpoint)
        timeout_ns = self.retry.attempt_timeout_ns(request, now)
        start_before_ns = request.deduplicated_until_ns  # as a connection may come up late
        self._actions.append(api.StartAttempt(request.id, endpoint.id, timeout_ns, start_before_ns))
        if self.overload.cycle_attempts % overload.MAX_ATTEMPTS_PER_CYCLE == 0:
            self.end_cycle(now)

    def _on_attempt_completed(self, now: int, event: api.AttemptCompleted) -> None:
        request = self.requests.get(event.request_id)
        endpoint = self.membership.endpoints.get(event.endpoint_id)
        if endpoint is not None and endpoint.in_flight:
            self.subsets.end_attempt(endpoint)
            self.record_outcome(endpoint, event, request, now)
            self.membership.drop_if_unused(endpoint)
        if request is None or event.request_finished:
            self.requests.pop(event.request_id, None)
            return
        if request.endpoint is not None and event.outcome not in api.OUTCOMES_NEVER_EXECUTED:
            request.record_execution()
        if self.retry.allows_retry(request, event.outcome, now):
            self.retry.budget -= 1
            self._send(request, now)
        else:
            self._give_final_answer(request, now)

    def _on_request_gone(self, _now: int, event: api.ClientDisconnected | api.StreamStarted) -> None:
        self.requests.pop(event.request_id, None)  # a started stream has no deadline and is never retried

    def _give_final_answer(self, request: RequestState, now: int) -> None:
        del self.requests[request.id]
        self._actions.append(self.retry.final_answer(request, now))

    def _start_probe_round(self, request: RequestState, now: int) -> bool:
        """Probe endpoints for a request, or send it to a warming one; return whether either was possible."""
        self.subsets.refresh(now)
        if not self.load_probing.allows_round(request, now):
            return False
        may_cross = self._may_cross(request)
        if request.probe is None:
            may_cross = may_cross and self.random.random() < self.overload.spillover_ratio
            zone = self.subsets.remote if may_cross else self.subsets.local
            endpoint = zone.allowance.take(now)
            if endpoint is not None:
                self._start_attempt(request, endpoint, now)
                return True
        actions = self.load_probing.start_round(request, may_cross, now)
        self._actions += actions
        return bool(actions)

    def _end_probe_round(self, request: RequestState, now: int) -> None:
        fastest = request.probe.fastest if request.probe else None
        if now >= request.expires_at_ns:
            self._give_final_answer(request, now)
        elif fastest is not None and fastest.health == api.EndpointHealth.READY:
            self._start_attempt(request, fastest, now)
        elif not self._start_probe_round(request, now):
            self._send(request, now)

    def _on_health_check(self, now: int, event: api.HealthCheckCompleted) -> None:
        waiting = self.load_probing.waiting.pop(event.endpoint_id, ())
        endpoint = self.membership.endpoints.get(event.endpoint_id)
        if endpoint is None:
            return
        is_healthy = event.outcome == AttemptOutcome.SUCCESS
        self.outliers.record_health_check(endpoint, is_healthy, now)
        if is_healthy:
            zone = self.subsets.zone_of(endpoint)
            zone.fastest_probe_ns = min(zone.fastest_probe_ns or event.duration_ns, event.duration_ns)
        for request_id in waiting:
            request = self.requests.get(request_id)
            if request is None or request.attempt_count or request.probe is None:
                continue
            request.probe.unanswered -= 1
            if is_healthy:
                if request.probe.fastest is None:  # other answers of this turn are compared with it
                    self._actions.append(api.SetTimer(1, request_id + load_probing.PROBE_TIMER_OFFSET))
                self.load_probing.record_answer(request.probe, endpoint, event.duration_ns)
            if not request.probe.unanswered and request.probe.fastest is not None:
                self._end_probe_round(request, now)

    def record_outcome(
        self, endpoint: EndpointState, event: api.AttemptCompleted, request: RequestState | None, now: int
    ) -> None:
        """Learn from how an attempt ended; the request is unknown if it has had its final answer before."""
        outcome = event.outcome
        if outcome in (AttemptOutcome.CANCELLED, AttemptOutcome.NOT_SENT, AttemptOutcome.CLIENT_ERROR):
            self.overload.discard_attempt(endpoint)
            if outcome == AttemptOutcome.CLIENT_ERROR:
                endpoint.unanswered_since_ns = now  # it answers; the fault is the request's
            return
        if outcome == AttemptOutcome.CONNECT_FAILED:
            self.subsets.record_connect_failure(now)
        self.outliers.record_connection(endpoint, outcome, now)
        is_timeout, failed = outcome == AttemptOutcome.TIMEOUT, outcome != AttemptOutcome.SUCCESS
        # A hurried client says nothing of the endpoint, nor does a request that is overtaken there.
        is_void = is_timeout and self.overload.latency.is_too_short(request, event.duration_ns)
        if request is not None and not is_void:
            self.retry.record_outcome(endpoint, request, failed, now)
            is_void = is_timeout and retry.is_overtaken(request)
        if is_void:
            self.overload.discard_attempt(endpoint)
            return
        if request is not None:
            self._record_load(endpoint, request, event, now)
        endpoint.record_outcome(failed, now)
        if failed:
            self.outliers.record_failure(endpoint, outcome, now)
        elif slow_start.capacity(self.settings, endpoint, now) >= 1:
            self.subsets.zone_of(endpoint).allowance.record_answer()

    def _record_load(
        self, endpoint: EndpointState, request: RequestState, event: api.AttemptCompleted, now: int
    ) -> None:
        if event.outcome == AttemptOutcome.SUCCESS:
            endpoint.record_latency_ratio(self.overload.latency.record_answer(request, event.duration_ns))
            delay = min(MAX_DELAY, self.overload.latency.queueing_delay(request, event.duration_ns))
            self.overload.record_delay(endpoint, request, delay)
            self.overload.evidence[endpoint.zone].answer_count += 1
        elif event.outcome in OVERLOADED and endpoint.ejected_until_ns <= now:
            self.overload.record_delay(endpoint, request, 1.0)
        else:  # one that errs, is dead or drains says nothing of load: it must not shed what others can serve
            self.overload.discard_attempt(endpoint)
            if event.outcome == AttemptOutcome.CONNECT_FAILED and endpoint.zone != self.settings.local_zone:
                self.overload.record_remote_connect_failure()
