"""The side of the sidecar that faces the application: an HTTP/1.1 server for its clients."""
