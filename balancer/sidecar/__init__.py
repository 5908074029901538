"""The sidecar: the process, sockets and timers that connect the policy to clients and endpoints."""
