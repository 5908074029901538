"""The decisions of the load balancer: they depend on the settings, the seed and the events alone."""
