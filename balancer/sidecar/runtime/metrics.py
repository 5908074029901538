"""Counters of one sidecar, and the run-time check of its invariants.

The sidecar has no port for its operators: the counters are written to the log as one line of JSON, on SIGUSR1
and, with the log level INFO, at the end of the process.
"""

from __future__ import annotations

import json
import logging
from collections import Counter
from enum import StrEnum

MAX_LOGGED_VIOLATIONS = 20
"""Of each invariant; further ones are only counted."""

log = logging.getLogger(__name__)


class Metric(StrEnum):
    """What is counted. Some are counted apart by a label."""

    REQUESTS = "requests"
    RESPONSES = "responses"
    """By the answer: served, rejected or failed."""
    CLIENTS_LEFT = "clients_left"
    """Clients that left before their answer."""
    ATTEMPTS = "attempts"
    """By the outcome."""
    ATTEMPTS_REFUSED = "attempts_refused"
    """Attempts of the policy that were not started, by the reason."""
    ACCEPT_FAILURES = "accept_failures"
    """By the error."""
    DOWNSTREAM_CONNECTIONS = "downstream_connections"
    DOWNSTREAM_CLOSES = "downstream_closes"
    """By the reason."""
    REQUESTS_REFUSED = "requests_refused"
    """Requests that are not valid, by the status code."""
    ENDPOINT_UPDATES = "endpoint_updates"
    """By their kind."""
    VIOLATIONS = "violations"
    """By the invariant."""


class Invariant(StrEnum):
    """What must hold at every moment; a violation is a fault of this program."""

    ANSWER_BY_DEADLINE = "answer_by_deadline"
    """The policy answers a request at its deadline."""
    REPEAT_ALLOWED = "repeat_allowed"
    """A request that may have been executed is sent again only where its class allows that."""
    REJECTION_HARMLESS = "rejection_harmless"
    """A request is rejected only if a client's retry does no harm."""
    ONE_ATTEMPT = "one_attempt"
    """A request has one attempt in flight at most."""
    ENDPOINT_READY = "endpoint_ready"
    """The policy sends nothing to an endpoint that it was told is draining or removed."""
    CLOSE_AFTER_ANSWERS = "close_after_answers"
    """A connection is closed once all that was requested on it is answered."""


class Metrics:
    """The counters; each part that counts is given them."""

    def __init__(self) -> None:
        self._counts: Counter[tuple[Metric, str]] = Counter()

    def count(self, metric: Metric, label: str = "") -> None:
        """Count one."""
        self._counts[metric, label] += 1

    def value(self, metric: Metric, label: str = "") -> int:
        """Return how many were counted."""
        return self._counts[metric, label]

    def record_violation(self, invariant: Invariant, detail: str) -> None:
        """Count and log that an invariant does not hold."""
        self.count(Metric.VIOLATIONS, invariant)
        if self.value(Metric.VIOLATIONS, invariant) <= MAX_LOGGED_VIOLATIONS:
            log.error("invariant violated: %s: %s", invariant, detail)

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
