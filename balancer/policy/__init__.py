"""The policy: the decisions of the load balancer, which depend on the settings, the seed and events alone."""
