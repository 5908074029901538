"""HTTP/1.1: messages, the grammar of requests and responses, and outbound connections."""
