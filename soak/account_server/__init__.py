"""Stand-ins for account servers. Each is behind a fault proxy and can be made to misbehave."""
