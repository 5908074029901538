"""Lines that the program writes to its log, as tests wait for them."""

from __future__ import annotations

RELOAD_FAILED = b"ERROR balancer.sidecar.process.configuration_reloader: reload_failed error="
"""The beginning of the line that says that the old configuration stays."""
