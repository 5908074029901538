"""A client-side load balancer that runs as a sidecar."""

from balancer.policy.balancer import Balancer
from balancer.policy_api import Settings

__all__ = ["Balancer", "Settings"]
