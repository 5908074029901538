"""The sidecar's communication with the account servers: connections, attempts and health checks."""
