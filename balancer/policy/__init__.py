"""The decisions of the load balancer: pure functions of settings, seed and events."""
