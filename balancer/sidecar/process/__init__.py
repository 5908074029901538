"""The process of a sidecar: start, reload of the configuration, signals and graceful shutdown."""
