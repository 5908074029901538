"""Log lines of the program that tests wait for."""

from __future__ import annotations

RELOAD_FAILED = b"ERROR balancer.sidecar.process.configuration_reloader: reload_failed error="
"""The beginning of the line that reports a failed reload; the old configuration stays in use."""
