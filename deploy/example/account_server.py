"""A stand-in for an account server, for the example only. It answers every request with its own port."""

from __future__ import annotations

import sys
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer


class AccountHandler(BaseHTTPRequestHandler):
    """Answers GET with 200 and keeps the connection open."""

    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:
        """Answer a request or a health check with the port of this server."""
        port = self.connection.getsockname()[1]
        body = f"served by {port}\n".encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


if __name__ == "__main__":
    ThreadingHTTPServer(("127.0.0.1", int(sys.argv[1])), AccountHandler).serve_forever()
