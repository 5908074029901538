"""The report of a soak: the violations with the events that explain them, and counts of the entire run."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

from soak.history.events import to_json
from soak.history.history import History
from soak.invariants.evidence import relevant_events
from soak.invariants.responses import REJECTION_STATUSES
from soak.invariants.violation import Violation

MAX_REPORTED_VIOLATIONS = 20
"""Violations that are reported one by one, at most; further ones of a run have the same causes."""
MAX_TEXT_CHARACTERS = 300
"""Characters of a text in the report; longer bodies and logs are truncated."""
NO_STATUS = 0
"""The status that the history has for a request without a response."""

Figures = dict[str, int | float]
"""Counts and sums by their names."""


@dataclass(frozen=True, slots=True)
class SoakReport:
    """The result of one soak."""

    seed: int
    seconds: float
    description: str
    """The deployment and the number of faults, in one line."""
    history: History
    violations: list[Violation]
    injected_call_faults: int
    """How many system calls failed, were shortened or were interrupted by the soak."""

    def figures(self) -> Figures:
        """Return counts of the entire run, by their names in the report."""
        history = self.history
        requests = history.requests.values()
        lag_seconds = sum(lag.seconds for lag in history.lags)
        return {
            "requests": len(requests),
            **self._outcome_figures(),
            "disconnected": sum(request.disconnected_at_seconds is not None for request in requests),
            "retried": sum(request.retried_after is not None for request in requests),
            "attempts": len(history.attempts),
            "processes": len(history.sidecars),
            "server_starts": len(history.servers),
            "malformed_peers": len(history.malformed_peers),
            "faults": len(history.faults),
            "system_call_faults": self.injected_call_faults,
            "harness_lag_seconds": round(lag_seconds, 3),
        }

    def violation_counts(self) -> dict[str, int]:
        """Return how often each invariant was violated."""
        return dict(Counter(violation.invariant.value for violation in self.violations))

    def to_json(self) -> dict[str, Any]:
        """Return the complete report; the history of each violation has the events that explain it."""
        return {
            "seed": self.seed,
            "seconds": self.seconds,
            "deployment": self.description,
            "figures": self.figures(),
            "broken": self.violation_counts(),
            "violations": [
                {
                    "invariant": violation.invariant.value,
                    "message": violation.message,
                    "at": round(violation.at_seconds, 3),
                    "history": self._evidence(violation),
                }
                for violation in self.violations[:MAX_REPORTED_VIOLATIONS]
            ],
            "faults": to_json(self.history.faults),
        }

    def to_text(self) -> str:
        """Return the report as text; it has the history of the first violation only."""
        lines = [
            f"seed {self.seed}, {self.seconds:g} s: {self.description}",
            ", ".join(f"{name} {value}" for name, value in self.figures().items()),
        ]
        if not self.violations:
            lines.append("no invariant was broken")
            return "\n".join(lines)
        lines.append(f"broken: {self.violation_counts()}; run it again with --seed {self.seed}")
        lines += [
            f"- {violation.at_seconds:.2f} s, {violation.invariant.value}: {violation.message}"
            for violation in self.violations[:MAX_REPORTED_VIOLATIONS]
        ]
        lines.append("history of the first violation:")
        lines += [f"    {event}" for event in self._evidence(self.violations[0])]
        return "\n".join(lines)

    def _outcome_figures(self) -> Figures:
        statuses = Counter(request.status for request in self.history.requests.values())
        served = statuses.pop(HTTPStatus.OK, 0)
        rejected = sum(statuses.pop(status, 0) for status in REJECTION_STATUSES)
        statuses.pop(NO_STATUS, 0)
        return {"served": served, "rejected": rejected, "failed": statuses.total()}

    def _evidence(self, violation: Violation) -> list[dict[str, Any]]:
        events = to_json(relevant_events(self.history, violation))
        return [{name: _shorten(value) for name, value in event.items()} for event in events]


def _shorten(value: object) -> object:
    return value[:MAX_TEXT_CHARACTERS] if isinstance(value, str) else value
