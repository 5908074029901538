"""Discovery: the endpoint list of the fleet, and the agent beside each sidecar that serves it."""
