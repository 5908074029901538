"""The side of the sidecar that faces the application."""
