"""HTTP/1.1: messages, parsers of requests and responses, and outbound connections."""
