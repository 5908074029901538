"""Account servers that stand behind a fault proxy and misbehave on request."""
