"""Counters of one sidecar, and the record of violated invariants.

The sidecar has no port for its operators: the counters are written to the log as one line of JSON, on SIGUSR1
and, with the log level INFO, at the end of the process.
"""

from __future__ import annotations

import json
import logging
from collections import Counter
from enum import StrEnum

MAX_LOGGED_VIOLATIONS = 20
"""How many violations of each invariant are logged: a fault must not fill the log. Others are counted."""

log = logging.getLogger(__name__)


class Metric(StrEnum):
    """The names of the counters. Some have a count for each value of a label."""

    REQUESTS = "requests"
    """Valid requests of clients."""
    RESPONSES = "responses"
    """Final answers; labelled by the kind: served, rejected or failed."""
    CLIENTS_DISCONNECTED = "clients_left"
    """Clients that left before their answer."""
    ATTEMPTS = "attempts"
    """Attempts that have ended; labelled by the outcome."""
    ATTEMPTS_REFUSED = "attempts_refused"
    """Attempts of the policy that were not started; labelled by the reason."""
    ACCEPT_FAILURES = "accept_failures"
    """Failures to accept a client's connection; labelled by the error."""
    DOWNSTREAM_CONNECTIONS = "downstream_connections"
    """Accepted connections of clients."""
    DOWNSTREAM_CLOSES = "downstream_closes"
    """Connections of clients that the sidecar closed; labelled by the reason."""
    INVALID_REQUESTS = "requests_refused"
    """Requests that are not valid; labelled by the status code."""
    ENDPOINT_UPDATES = "endpoint_updates"
    """Endpoint lists and changes of them; labelled by the kind."""
    VIOLATIONS = "violations"
    """Violations of invariants; labelled by the invariant."""


class Invariant(StrEnum):
    """What must hold at every moment; a violation is a fault of this program."""

    RESPONSE_BY_DEADLINE = "answer_by_deadline"
    """The policy answers a request at its deadline."""
    RETRY_ALLOWED = "repeat_allowed"
    """A request that may have been executed is sent again only where its class allows that."""
    REJECTION_SAFE = "rejection_harmless"
    """A request is rejected only if a client's retry does no harm."""
    ONE_ATTEMPT = "one_attempt"
    """A request has one attempt in flight at most."""
    ENDPOINT_READY = "endpoint_ready"
    """The policy starts no attempt at an endpoint that it knows to be draining or removed."""
    CLOSE_AFTER_RESPONSES = "close_after_answers"
    """A connection is closed once all that was requested on it is answered."""


class Metrics:
    """The counters, which all parts of a sidecar share."""

    def __init__(self) -> None:
        self._counts: Counter[tuple[Metric, str]] = Counter()

    def count(self, metric: Metric, label: str = "") -> None:
        """Add one to a counter."""
        self._counts[metric, label] += 1

    def value(self, metric: Metric, label: str = "") -> int:
        """Return the value of a counter."""
        return self._counts[metric, label]

    def record_violation(self, invariant: Invariant, detail: str) -> None:
        """Count and log that an invariant does not hold.

        Args:
            invariant: The invariant.
            detail: What violates it, as fields of a log line: `key=value key=value`.
        """
        self.count(Metric.VIOLATIONS, invariant)
        if self.value(Metric.VIOLATIONS, invariant) <= MAX_LOGGED_VIOLATIONS:
            log.error("invariant_violated invariant=%s %s", invariant, detail)

    def to_json(self) -> str:
        """Return all counters as one line of JSON: a number, or an object of numbers by label."""
        fields: dict[str, int | dict[str, int]] = {}
        for (metric, label), count in sorted(self._counts.items()):
            if not label:
                fields[metric] = count
                continue
            by_label = fields.setdefault(metric, {})
            if isinstance(by_label, dict):
                by_label[label] = count
        return json.dumps(fields)
