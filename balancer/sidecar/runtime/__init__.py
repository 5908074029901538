"""What all parts of the process use: clock, timers, metrics, sockets, addresses and resource limits."""
