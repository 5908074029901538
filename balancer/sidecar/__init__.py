"""The real sidecar: sockets, timers and processes around the decisions."""
