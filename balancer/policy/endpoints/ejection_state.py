"""Whether one endpoint is ejected, and the failures that may lead to it."""


class EjectionState:
    """The ejection of an endpoint, changed by its own methods only."""

    __slots__ = ("consecutive_failures", "ejections_since_success", "health_check_pending", "until_ns")

    def __init__(self) -> None:
        self.until_ns = 0
        """End of the most recent ejection; 0 if there was none."""
        self.ejections_since_success = 0
        """Ejections since the last success."""
        self.consecutive_failures = 0
        """Failed attempts since the last success or successful health check."""
        self.health_check_pending = False
        """Whether a health check decides about the return to service."""

    def is_active(self, now_ns: int) -> bool:
        """Return whether the endpoint is ejected."""
        return self.until_ns > now_ns

    def ends_within(self, duration_ns: int, now_ns: int) -> bool:
        """Return whether the endpoint is ejected and returns within the duration."""
        return now_ns < self.until_ns <= now_ns + duration_ns

    def record(self, failed: bool) -> None:
        """Record the outcome of an attempt."""
        if failed:
            self.consecutive_failures += 1
        else:
            self.consecutive_failures = 0
            self.ejections_since_success = 0

    def eject(self, until_ns: int) -> None:
        """Eject the endpoint."""
        self.until_ns = until_ns
        self.ejections_since_success += 1

    def await_health_check(self, until_ns: int) -> None:
        """Extend the ejection until a health check has ended."""
        self.health_check_pending = True
        self.until_ns = until_ns

    def end_health_check(self) -> None:
        """Record that the health check has ended, whatever its result."""
        self.health_check_pending = False

    def end(self, now_ns: int) -> None:
        """Return the endpoint to service."""
        self.until_ns = now_ns
        self.consecutive_failures = 0
