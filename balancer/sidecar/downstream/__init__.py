"""The downstream side of the sidecar: an HTTP/1.1 server for the clients of the application."""
