"""The mutants: defects that the soak has to notice, as replacements of source text.

Each entry names the property that the mutant breaks, the file, the original text and the text that replaces
it. The original text has to occur exactly once in its file; a test checks that, so a change of the source
shows which entries it affects. If two places ensure a property, there is an entry for each and one for both.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Replacement:
    """A change of one place in the source."""

    path: str
    """The file, relative to the root of the repository."""
    original: str
    """The text that is replaced; it occurs exactly once in the file."""
    mutated: str
    """The text that replaces it."""


@dataclass(frozen=True, slots=True)
class Mutant:
    """The replacements that break one property of the sidecar."""

    name: str
    """The property of the sidecar that the mutant breaks."""
    replacements: tuple[Replacement, ...]


def _mutant(name: str, path: str, original: str, mutated: str) -> Mutant:
    """Return a mutant that replaces one text."""
    return Mutant(name, (Replacement(path, original, mutated),))


_CHECK_BEFORE_SENDING = Replacement(
    "balancer/sidecar/requests/in_flight_request.py",
    "return not self.answered and self.response_sink.is_disconnected()",
    "return False",
)
_DISCONNECT_EVENT = Replacement(
    "balancer/sidecar/downstream/connection.py",
    "            self._manager.dispatcher.on_client_disconnected(request_id)",
    "            del request_id",
)

MUTANTS = (
    _mutant(
        "the timeout of a request counts from its arrival",
        "balancer/sidecar/downstream/connection.py",
        "waited_seconds = self._manager.now_seconds() - request.arrived_at_seconds",
        "waited_seconds = 0.0",
    ),
    _mutant(
        "every request gets a response by its deadline",
        "balancer/sidecar/requests/request_deadlines.py",
        "self._attempts.continue_in_background(request)\n        if not request.answered:",
        "if False:",
    ),
    Mutant("no attempt starts for a disconnected client: check before sending", (_CHECK_BEFORE_SENDING,)),
    Mutant("no attempt starts for a disconnected client: disconnect event", (_DISCONNECT_EVENT,)),
    Mutant("no attempt starts for a disconnected client: both", (_CHECK_BEFORE_SENDING, _DISCONNECT_EVENT)),
    _mutant(
        "an attempt that is not completely transmitted is cancelled when its client disconnects",
        "balancer/sidecar/requests/client_disconnects.py",
        "            request.attempt.end_unless_transmitted(AttemptOutcome.CANCELLED)",
        "            pass",
    ),
    Mutant(
        "a connection is not reused while a part of its last request is unsent",
        (
            Replacement(
                "balancer/sidecar/http/outbound_connection.py",
                "undelivered_bytes = self.undelivered_byte_count if response is not None else 0",
                "undelivered_bytes = 0",
            ),
            Replacement(
                "balancer/sidecar/http/outbound_connection.py",
                "if transport is None or transport.is_closing() or self.has_unsent_bytes:",
                "if transport is None or transport.is_closing():",
            ),
        ),
    ),
    _mutant(
        "a request that the kernel has not transmitted is given up when its client disconnects",
        "balancer/sidecar/upstream/attempt.py",
        "if not self.end_unless_sent() and self._has_untransmitted_bytes:",
        "if not self.end_unless_sent() and False:",
    ),
    _mutant(
        "a closing connection stays open while its client reads the response",
        "balancer/sidecar/downstream/timeout_enforcement.py",
        "    if connection.has_unsent_response:\n        return effective.timeouts.unread_response_seconds\n",
        "",
    ),
    _mutant(
        "a request that is arriving is not evicted while others rest",
        "balancer/sidecar/downstream/eviction.py",
        "    return connection.is_idle and not _is_served(connection)",
        "    return not _is_served(connection)",
    ),
    _mutant(
        "a late response of a slow source is accepted",
        "balancer/sidecar/discovery/call.py",
        "            self._late_calls.add(call)",
        "            call.cancel()",
    ),
    _mutant(
        "a request that may have executed is retried only if it is idempotent",
        "balancer/policy/requests/retry.py",
        "is_safe = request.may_be_retried_anywhere or now_ns < request.deduplicated_until_ns",
        "is_safe = True",
    ),
    _mutant(
        "a request that may have executed is not rejected",
        "balancer/policy/requests/retry.py",
        "        if not request.may_be_retried_anywhere:\n            return api.FailRequest(request.id)\n",
        "",
    ),
    _mutant(
        "a request with an idempotency key is retried only within its deduplication scope",
        "balancer/policy/selection/endpoint_picker.py",
        "if endpoint.drops_duplicates_of(binding.endpoint, scope)]",
        "if scope is not None]",
    ),
    _mutant(
        "an attempt is aborted at its timeout",
        "balancer/sidecar/upstream/attempt.py",
        "            self.abort(AttemptOutcome.TIMEOUT)\n\n    def continue",
        "            self._end(AttemptOutcome.TIMEOUT)\n\n    def continue",
    ),
    _mutant(
        "draining and removed endpoints get no requests",
        "balancer/policy/endpoints/endpoint_ranking.py",
        "ready = [endpoint for endpoint in endpoints if endpoint.health == EndpointHealth.READY]",
        "ready = list(endpoints)",
    ),
    _mutant(
        "warming endpoints get fewer requests",
        "balancer/policy/selection/slow_start.py",
        "    if not endpoint.started_at_ns or age_ns >= duration_ns:",
        "    if age_ns >= 0:",
    ),
    _mutant(
        "start times of endpoints are corrected after a step of the wall clock",
        "balancer/sidecar/discovery/start_times.py",
        "if all(abs(offset_ns - known_offset_ns) >= MIN_STEP_NS for known_offset_ns in self._offsets_ns):",
        "if not self._offsets_ns:",
    ),
    _mutant(
        "a connection is not reused right after a response",
        "balancer/sidecar/upstream/pool.py",
        "CONNECTION_REUSE_DELAY_NS = 16 * MILLISECOND_NS",
        "CONNECTION_REUSE_DELAY_NS = 0",
    ),
    _mutant(
        "accepting resumes after a failure",
        "balancer/sidecar/downstream/acceptor.py",
        "        self._retry_timer.start(RETRY_DELAY_SECONDS, self._resume)\n",
        "",
    ),
    _mutant(
        "a process waits at its start until it can get sockets",
        "balancer/__main__.py",
        "if not is_shortage or time.monotonic() >= start_deadline_seconds:",
        "if True:",
    ),
    _mutant(
        "the reading of an unreadable configuration is retried",
        "balancer/sidecar/process/configuration_reloader.py",
        "            if self._attempts_left:\n",
        "            if False:\n",
    ),
    _mutant(
        "peers that send no valid request time out",
        "balancer/sidecar/downstream/timeout_enforcement.py",
        "elif _is_request_overdue(connection, effective.timeouts, waited_seconds, now_seconds):",
        "elif False:",
    ),
    _mutant(
        "a shutdown responds to requests in flight",
        "balancer/sidecar/process/graceful_shutdown.py",
        "self._dispatcher.expire_all_within(self._exit_delay_seconds - LAST_RESPONSES_BEFORE_EXIT_SECONDS)",
        "pass",
    ),
    _mutant(
        "a shutdown waits for clients to close their connections",
        "balancer/sidecar/process/graceful_shutdown.py",
        "            await asyncio.wait_for(self._listener.wait_until_closed(), seconds_left)",
        "            await asyncio.sleep(min(0.1, seconds_left))",
    ),
    _mutant(
        "a watch that does not respond times out",
        "balancer/sidecar/discovery/client.py",
        "timeout_seconds = long_poll_timeout_seconds + profile.grace_seconds",
        "timeout_seconds = 60.0",
    ),
)
"""All mutants."""
