"""Processing of requests: passes events to the policy and carries out the actions that it returns."""
