"""The ejection state of one endpoint: whether it is ejected, and the failures that may lead to that."""


class EjectionState:
    """The ejection of one endpoint: for a limited time, the sidecar sends no requests to it.

    The attributes are changed by the methods of this class only.
    """

    __slots__ = ("consecutive_failures", "ejections_since_success", "health_check_pending", "until_ns")

    def __init__(self) -> None:
        self.until_ns = 0
        """End of the current or most recent ejection (ns); 0 if there was none."""
        self.ejections_since_success = 0
        """Number of ejections since the last successful attempt; each one lengthens the next ejection."""
        self.consecutive_failures = 0
        """Number of failed attempts since the last success or health check that ended an ejection."""
        self.health_check_pending = False
        """Whether a health check is in progress that decides if the endpoint returns to service."""

    def is_active(self, now_ns: int) -> bool:
        """Return whether the endpoint is ejected now."""
        return self.until_ns > now_ns

    def ends_within(self, duration_ns: int, now_ns: int) -> bool:
        """Return whether the endpoint is ejected now and its ejection ends within the duration."""
        return now_ns < self.until_ns <= now_ns + duration_ns

    def record(self, failed: bool) -> None:
        """Count a failed attempt; a successful one resets the counts of failures and ejections."""
        if failed:
            self.consecutive_failures += 1
        else:
            self.consecutive_failures = 0
            self.ejections_since_success = 0

    def eject(self, until_ns: int) -> None:
        """Eject the endpoint until the given time."""
        self.until_ns = until_ns
        self.ejections_since_success += 1

    def await_health_check(self, until_ns: int) -> None:
        """Record that a health check is in progress, and move the end of the ejection to the given time."""
        self.health_check_pending = True
        self.until_ns = until_ns

    def end_health_check(self) -> None:
        """Record that the health check has ended, with any result."""
        self.health_check_pending = False

    def end(self, now_ns: int) -> None:
        """End the ejection now: the endpoint returns to service."""
        self.until_ns = now_ns
        self.consecutive_failures = 0
