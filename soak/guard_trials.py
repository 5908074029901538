"""Shows that the soak notices a broken guard: `python -m soak.guard_trials`.

Each guard is broken alone in a scratch copy of the repository, and the soak is run on it with one seed after
the other until an invariant is broken. Exit status 1 if some guard could be broken unnoticed.
"""

from __future__ import annotations

import argparse
import json
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

REPOSITORY_ROOT = Path(__file__).parent.parent
COPIED_FOLDERS = ("balancer", "soak")
SOAK_TIMEOUT_SECONDS = 240
EXIT_BROKEN = 1


@dataclass(frozen=True, slots=True)
class SourceChange:
    """A change of one place of the source."""

    path: str
    guarded: str
    """The text of the guard, which stands in the file once."""
    broken: str
    """What stands there instead."""


@dataclass(frozen=True, slots=True)
class GuardBreak:
    """What takes one guard away; all of its places, where it stands in more than one."""

    name: str
    changes: tuple[SourceChange, ...]


@dataclass(frozen=True, slots=True)
class TrialResult:
    """What the soak said of a broken guard."""

    guard: str
    seed: int
    """The seed that noticed, or the last one."""
    broken_invariants: dict[str, int]
    first_message: str
    """Of what was broken."""


_LEFT_BEFORE_SENDING = SourceChange(
    "balancer/sidecar/requests/dispatcher.py",
    "if not request.answered and request.response_sink.is_disconnected():",
    "if False:",
)
_LEFT_BY_EVENT = SourceChange(
    "balancer/sidecar/downstream/connection.py",
    "            self._manager.dispatcher.on_client_disconnected(request_id)",
    "            del request_id",
)


def _single(name: str, path: str, guarded: str, broken: str) -> GuardBreak:
    return GuardBreak(name, (SourceChange(path, guarded, broken),))


GUARD_BREAKS = (
    _single(
        "a request's time counts from its arrival",
        "balancer/sidecar/downstream/connection.py",
        "waited_seconds = self._manager.now_seconds() - request.arrived_at_seconds",
        "waited_seconds = 0.0",
    ),
    _single(
        "every request is answered at its deadline",
        "balancer/sidecar/requests/dispatcher.py",
        "self._attempts.continue_in_background(request)\n        if not request.answered:",
        "if False:",
    ),
    GuardBreak("nothing is sent for a client that left: asked before sending", (_LEFT_BEFORE_SENDING,)),
    GuardBreak("nothing is sent for a client that left: told by an event", (_LEFT_BY_EVENT,)),
    GuardBreak("nothing is sent for a client that left: both", (_LEFT_BEFORE_SENDING, _LEFT_BY_EVENT)),
    _single(
        "an attempt that was not sent whole is given up with its client",
        "balancer/sidecar/requests/dispatcher.py",
        "            request.attempt.give_up_unsent()",
        "            pass",
    ),
    _single(
        "what may have run is sent again only where that is safe",
        "balancer/policy/retry.py",
        "is_safe = request.may_run_again or now < request.deduplicated_until_ns",
        "is_safe = True",
    ),
    _single(
        "a refusal promises that nothing has run",
        "balancer/policy/retry.py",
        "        if not request.may_run_again:\n            return api.FailRequest(request.id)\n",
        "",
    ),
    _single(
        "a keyed request goes again only to its group",
        "balancer/policy/subset.py",
        "            warm = [e for e in warm if e.drops_duplicates_of(bound_to, scope)]",
        "            warm = [e for e in warm if scope is not None]",
    ),
    _single(
        "an attempt ends with its time",
        "balancer/sidecar/upstream/attempt.py",
        "            self.abort(AttemptOutcome.TIMEOUT)\n\n    def continue",
        "            self._end(AttemptOutcome.TIMEOUT)\n\n    def continue",
    ),
    _single(
        "endpoints that drain or are removed are not ranked",
        "balancer/policy/membership.py",
        "ready = [e for e in self.endpoints.values() if e.health == EndpointHealth.READY]",
        "ready = list(self.endpoints.values())",
    ),
    _single(
        "endpoints that warm up are not picked as others are",
        "balancer/policy/slow_start.py",
        "    if not endpoint.started_at_ns or age >= duration:",
        "    if age >= 0:",
    ),
    _single(
        "start times follow steps of the wall clock",
        "balancer/sidecar/discovery/start_times.py",
        "if all(abs(offset_ns - known_ns) >= MIN_STEP_NS for known_ns in self._offsets_ns):",
        "if not self._offsets_ns:",
    ),
    _single(
        "a connection takes no request just after it has served one",
        "balancer/sidecar/upstream/pool.py",
        "CONNECTION_REUSE_DELAY_NS = SECOND_NS // 125",
        "CONNECTION_REUSE_DELAY_NS = 0",
    ),
    _single(
        "accepting goes on after a failure",
        "balancer/sidecar/downstream/acceptor.py",
        "        self._retry_timer.start(RETRY_DELAY_SECONDS, self._resume)\n",
        "",
    ),
    _single(
        "a shortage at the start is waited out",
        "balancer/__main__.py",
        "if error.errno not in RESOURCE_SHORTAGE_ERRNOS or time.monotonic() >= start_deadline:",
        "if True:",
    ),
    _single(
        "an unreadable configuration is read again",
        "balancer/sidecar/process/lifecycle.py",
        "            if self._attempts_left:\n",
        "            if False:\n",
    ),
    _single(
        "peers that send no proper request are timed out",
        "balancer/sidecar/downstream/connection.py",
        "elif not self.has_pending_responses and waited > self._request_timeout_seconds():",
        "elif False:",
    ),
    _single(
        "a shutdown answers what is still in flight",
        "balancer/sidecar/process/lifecycle.py",
        "self._dispatcher.expire_all_within(self._exit_delay_seconds - LAST_RESPONSES_BEFORE_EXIT_SECONDS)",
        "pass",
    ),
    _single(
        "a shutdown waits for the clients",
        "balancer/sidecar/process/lifecycle.py",
        "            await asyncio.wait_for(self._listener.wait_until_closed(), seconds_left)",
        "            await asyncio.sleep(min(0.1, seconds_left))",
    ),
    _single(
        "a watch that is silent is given up",
        "balancer/sidecar/discovery/client.py",
        "timeout_seconds = hold_seconds + profile.grace_seconds",
        "timeout_seconds = 60.0",
    ),
)


def apply(guard: GuardBreak, root: Path) -> None:
    """Break a guard in a copy of the repository. Raises ValueError if a text does not stand there once."""
    for change in guard.changes:
        file = root / change.path
        text = file.read_text()
        if text.count(change.guarded) != 1:
            raise ValueError(f"{change.path}: {guard.name!r} does not stand there once")
        file.write_text(text.replace(change.guarded, change.broken))


def run_trial(guard: GuardBreak, seeds: Sequence[int], seconds: float) -> TrialResult:
    """Break a guard in a scratch copy and run the soak until a seed notices."""
    with tempfile.TemporaryDirectory(prefix="balancer-trial-") as temporary:
        root = Path(temporary)
        for folder in COPIED_FOLDERS:
            ignored = shutil.ignore_patterns("__pycache__")
            shutil.copytree(REPOSITORY_ROOT / folder, root / folder, ignore=ignored)
        apply(guard, root)
        result = TrialResult(guard.name, 0, {}, "")
        for seed in seeds:
            result = _run_soak(guard, root, seed, seconds)
            if result.broken_invariants:
                break
        return result


def _run_soak(guard: GuardBreak, root: Path, seed: int, seconds: float) -> TrialResult:
    report_file = root / "report.json"
    command = [sys.executable, "-m", "soak", "--seed", str(seed), "--seconds", str(seconds)]
    process = subprocess.run(
        [*command, "--json", str(report_file)],
        cwd=root,
        capture_output=True,
        text=True,
        timeout=SOAK_TIMEOUT_SECONDS,
        check=False,
    )
    if process.returncode == EXIT_BROKEN:
        report = json.loads(report_file.read_text())
        return TrialResult(guard.name, seed, report["broken"], report["violations"][0]["message"])
    if process.returncode == 0:
        return TrialResult(guard.name, seed, {}, "")
    status = f"the soak ended with status {process.returncode}"
    return TrialResult(guard.name, seed, {status: 1}, process.stderr[-200:])


def _chosen(words: Sequence[str]) -> Iterator[GuardBreak]:
    return (guard for guard in GUARD_BREAKS if not words or any(word in guard.name for word in words))


def _line(result: TrialResult) -> str:
    if not result.broken_invariants:
        return f"{result.guard}: UNNOTICED"
    broken = f"{result.broken_invariants}, first: {result.first_message[:150]}"
    return f"{result.guard}: seed {result.seed}: {broken}"


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the trials and print one line for each."""
    parser = argparse.ArgumentParser(prog="soak.guard_trials", description="Break guards one at a time.")
    parser.add_argument("words", nargs="*", help="only guards whose name has one of these words")
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3, 4], help="tried in this order")
    parser.add_argument("--seconds", type=float, default=32.0, help="length of each soak")
    parser.add_argument("--jobs", type=int, default=1, help="soaks at the same time")
    options = parser.parse_args(arguments)
    unnoticed = 0
    with ThreadPoolExecutor(options.jobs) as executor:
        trials = [
            executor.submit(run_trial, guard, options.seeds, options.seconds)
            for guard in _chosen(options.words)
        ]
        for trial in trials:
            result = trial.result()
            unnoticed += not result.broken_invariants
            print(_line(result), flush=True)
    return EXIT_BROKEN if unnoticed else 0


if __name__ == "__main__":
    sys.exit(main())
