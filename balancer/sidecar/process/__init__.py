"""The process: start, reload and graceful shutdown."""
