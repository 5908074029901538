"""The counters of a sidecar, and the logging of violated invariants.

The sidecar has no port for operators. It writes the counters to the log as one line of JSON, on SIGUSR1 and,
with the log level INFO, at the end of the process.
"""

from __future__ import annotations

import json
import logging
from collections import Counter
from enum import StrEnum

MAX_LOGGED_VIOLATIONS = 20
"""The number of violations of each invariant that are logged, so that a defect does not fill the log.

Further violations are only counted.
"""

log = logging.getLogger(__name__)


class Metric(StrEnum):
    """The names of the counters. Some have a separate count for each value of a label."""

    REQUESTS = "requests"
    """Valid requests of clients."""
    RESPONSES = "responses"
    """Final responses; labelled by the kind: served, rejected or failed."""
    CLIENTS_DISCONNECTED = "clients_left"
    """Requests whose client disconnected before the final response."""
    ATTEMPTS = "attempts"
    """Attempts that have ended; labelled by the outcome."""
    ATTEMPTS_REFUSED = "attempts_refused"
    """Attempts that the policy requested but the sidecar did not start; labelled by the reason."""
    ACCEPT_FAILURES = "accept_failures"
    """Failures to accept a client's connection; labelled by the error."""
    DOWNSTREAM_CONNECTIONS = "downstream_connections"
    """Accepted connections of clients."""
    DOWNSTREAM_CLOSES = "downstream_closes"
    """Connections of clients that the sidecar closed; labelled by the reason."""
    TURNS_DEFERRED = "turns_deferred"
    """How often the further requests of one client have waited, so that others are served in between."""
    MEMORY_REJECTIONS = "memory_rejections"
    """Requests that were rejected because there was no memory for them."""
    INVALID_REQUESTS = "requests_refused"
    """Invalid requests; labelled by the status code of the response."""
    ENDPOINT_UPDATES = "endpoint_updates"
    """Complete endpoint lists and updates with changes; labelled by the kind."""
    VIOLATIONS = "violations"
    """Violations of invariants; labelled by the invariant."""


class Invariant(StrEnum):
    """Conditions that must always hold; a violation is a defect of this program."""

    RESPONSE_BY_DEADLINE = "answer_by_deadline"
    """The policy answers a request by its deadline."""
    RETRY_ALLOWED = "repeat_allowed"
    """A request that may have been executed is retried only if its class allows that."""
    REJECTION_SAFE = "rejection_harmless"
    """A request is rejected only if it is safe for the client to retry it."""
    ONE_ATTEMPT = "one_attempt"
    """A request has at most one attempt in flight."""
    ENDPOINT_READY = "endpoint_ready"
    """The policy starts no attempt at an endpoint that it knows to be draining or removed."""
    CLOSE_AFTER_RESPONSES = "close_after_answers"
    """A connection is closed only after every request on it has been answered."""


class Metrics:
    """The counters of a sidecar, which all of its parts share."""

    def __init__(self) -> None:
        self._counts: Counter[tuple[Metric, str]] = Counter()

    def count(self, metric: Metric, label: str = "") -> None:
        """Add one to a counter."""
        self._counts[metric, label] += 1

    def value(self, metric: Metric, label: str = "") -> int:
        """Return the value of a counter."""
        return self._counts[metric, label]

    def record_violation(self, invariant: Invariant, detail: str) -> None:
        """Count a violation of an invariant, and log it unless too many have been logged.

        Args:
            invariant: The invariant that does not hold.
            detail: What violates it, usually as fields of a log line: `key=value key=value`.
        """
        self.count(Metric.VIOLATIONS, invariant)
        if self.value(Metric.VIOLATIONS, invariant) <= MAX_LOGGED_VIOLATIONS:
            log.error("invariant_violated invariant=%s %s", invariant, detail)

    def to_json(self) -> str:
        """Return all counters as a JSON object on one line.

        A counter is a number, or an object with a number for each label.
        """
        fields: dict[str, int | dict[str, int]] = {}
        for (metric, label), count in sorted(self._counts.items()):
            if not label:
                fields[metric] = count
                continue
            by_label = fields.setdefault(metric, {})
            if isinstance(by_label, dict):
                by_label[label] = count
        return json.dumps(fields)
