"""The control cycle: one run of the overload control, which adjusts admission and spillover.

It runs when a periodic timer fires, or earlier after a number of attempts, as in DAGOR. It ends the
measurement cycle, unless that has too few samples and is extended.
"""

from balancer import policy_api as api
from balancer.policy.overload.admission import AdmissionControl
from balancer.policy.overload.detector import OverloadDetector
from balancer.policy.overload.gossip import Gossip
from balancer.policy.overload.measurement_cycle import MAX_ATTEMPTS_PER_CYCLE
from balancer.policy.requests.running_attempts import RunningAttemptSampler
from balancer.policy.selection.connection_budget import ConnectionBudget
from balancer.policy.selection.subset import SubsetSelector


class ControlCycle:
    """Samples the load, adjusts admission and spillover, and shares the evidence with other sidecars."""

    def __init__(
        self,
        actions: list[api.Action],
        overload: OverloadDetector,
        admission: AdmissionControl,
        gossip: Gossip,
        subsets: SubsetSelector,
        budget: ConnectionBudget,
        running_attempts: RunningAttemptSampler,
    ) -> None:
        self._actions = actions
        self._overload = overload
        self._admission = admission
        self._gossip = gossip
        self._subsets = subsets
        self._budget = budget
        self._running_attempts = running_attempts

    def run_if_attempt_limit_reached(self, now_ns: int) -> None:
        """Run a control cycle if the attempts of the measurement cycle have reached the limit.

        If there are too few samples then, it runs again at each further multiple of the limit.
        """
        if self._overload.measurement_cycle.attempt_count % MAX_ATTEMPTS_PER_CYCLE == 0:
            self.run(now_ns)

    def run(self, now_ns: int) -> None:
        """Adjust to the evidence and begin the next measurement cycle, or extend it to get more samples."""
        self._running_attempts.sample_all(now_ns)
        if self._overload.should_extend_cycle(now_ns):
            self._actions += self._gossip.share()
            return
        self.update_admission_and_spillover(now_ns)
        self._budget.increase()
        self._admission.end_cycle()
        self._overload.end_cycle(now_ns)
        self._actions += self._gossip.share()
        self._gossip.cycle_count += 1

    def update_admission_and_spillover(self, now_ns: int) -> None:
        """Update the load estimate and the spillover ratio, then the admission threshold."""
        overload = self._overload
        overload.update_estimate(bool(self._subsets.remote.ranked), now_ns)
        rejected_share = self._admission.adjust(
            overload.queueing_delay, overload.threshold, overload.response_ratio
        )
        overload.discount_attempts(rejected_share)
