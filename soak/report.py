"""What a soak reports: broken invariants with their history, and figures of the whole run."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import Any

from soak.history import History, to_json
from soak.invariants import Violation, relevant_events

MAX_REPORTED = 20
"""Violations whose history is written out."""


@dataclass(frozen=True, slots=True)
class SoakReport:
    """The result of one soak."""

    seed: int
    seconds: float
    description: str
    history: History
    violations: list[Violation]
    injected_call_faults: int

    def figures(self) -> dict[str, int | float]:
        """Return counts of the whole run."""
        requests = self.history.requests.values()
        statuses = Counter(request.status for request in requests)
        return {
            "requests": len(requests),
            "served": statuses[200],
            "refused": statuses[429] + statuses[503],
            "failed": sum(n for status, n in statuses.items() if status not in (0, 200, 429, 503)),
            "left": sum(request.left_at is not None for request in requests),
            "resent": sum(bool(request.resent_from) for request in requests),
            "attempts": len(self.history.attempts),
            "processes": len(self.history.sidecars),
            "server_starts": len(self.history.servers),
            "malformed_peers": len(self.history.malformed_peers),
            "faults": len(self.history.faults),
            "system_call_faults": self.injected_call_faults,
            "harness_lag_seconds": round(sum(lag.ended_at - lag.began_at for lag in self.history.lags), 3),
        }

    def broken(self) -> dict[str, int]:
        """Return how often each invariant was broken."""
        return dict(Counter(violation.invariant for violation in self.violations))

    def to_json(self) -> dict[str, Any]:
        """Return the whole report; the history of each violation is the part that shows it."""
        return {
            "seed": self.seed,
            "seconds": self.seconds,
            "deployment": self.description,
            "figures": self.figures(),
            "broken": self.broken(),
            "violations": [
                {
                    "invariant": violation.invariant,
                    "message": violation.message,
                    "at": round(violation.at, 3),
                    "history": _shorten(to_json(relevant_events(self.history, violation))),
                }
                for violation in self.violations[:MAX_REPORTED]
            ],
            "faults": to_json(self.history.faults),
        }

    def to_text(self) -> str:
        """Return the report for a reader."""
        lines = [f"seed {self.seed}, {self.seconds:g} s: {self.description}"]
        lines.append(", ".join(f"{name} {value}" for name, value in self.figures().items()))
        if not self.violations:
            lines.append("no invariant was broken")
            return "\n".join(lines)
        lines.append(f"broken: {self.broken()}; play again with --seed {self.seed}")
        lines += [
            f"- {violation.at:.2f} s, {violation.invariant}: {violation.message}"
            for violation in self.violations[:MAX_REPORTED]
        ]
        first = self.violations[0]
        lines.append("history of the first:")
        lines += [f"    {event}" for event in _shorten(to_json(relevant_events(self.history, first)))]
        return "\n".join(lines)


def _shorten(events: list[dict[str, Any]], max_characters: int = 300) -> list[dict[str, Any]]:
    """Cut long texts, as bodies and logs are."""
    return [
        {name: value[:max_characters] if isinstance(value, str) else value for name, value in event.items()}
        for event in events
    ]
