"""The sidecar itself: sockets, timers and processes around the policy."""
