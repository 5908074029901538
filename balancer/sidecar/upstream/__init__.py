"""The side of the sidecar that faces the account servers: connections, attempts and health checks."""
