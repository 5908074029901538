"""Draws the requests of the clients of one sidecar."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from soak.deployment import TENANTS, Deployment, Idempotency, RequestClass
from soak.history.events import ClientRequest
from soak.request_content import content_digest

RESOURCE_KEY_COUNT = 200
"""Number of distinct resource keys; low ones are drawn more often."""
MAX_BODY_BYTES = 20_000
"""Upper limit of a request's body, in bytes; the larger bodies need several reads."""
MAX_LONG_BODY_BYTES = 65_000
"""Upper limit of a long body, in bytes; the kernel does not take all of it at once on a narrow connection."""
LONG_BODY_PROBABILITY = 0.1
"""Probability that a body is drawn from the range of long ones."""
MIN_TIMEOUT_SHARE = 0.7
"""The shortest timeout that a client sets, as a share of the timeout of its request class."""


@dataclass(frozen=True, slots=True)
class PreparedRequest:
    """A request that has not been sent yet, and its bytes."""

    request: ClientRequest
    data: bytes


class RequestFactory:
    """Draws requests. Their identifiers contain the name of the sidecar and are unique."""

    def __init__(self, sidecar: str, deployment: Deployment, random: Random) -> None:
        self._sidecar = sidecar
        self._deployment = deployment
        self._random = random
        self._request_count = 0

    def make(self, requests_close: bool = False, response_bytes: int = 0) -> PreparedRequest:
        """Draw a request.

        Args:
            requests_close: whether it asks that the connection be closed after the response.
            response_bytes: the size of the response that it asks for; 0 to leave it to the account server.
        """
        request_classes = self._deployment.request_classes
        shares = [request_class.share for request_class in request_classes]
        request_class = self._random.choices(request_classes, shares)[0]
        self._request_count += 1
        timeout_share = self._random.uniform(MIN_TIMEOUT_SHARE, 1.0)
        request = ClientRequest(
            request_id=f"{self._sidecar}-{self._request_count:x}",
            sidecar=self._sidecar,
            request_class=request_class.name,
            sent_at_seconds=0.0,
            timeout_seconds=round(request_class.timeout_seconds * timeout_share, 3),
            is_first_on_connection=True,
        )
        data = self._encode(request, request_class, requests_close, response_bytes)
        request.content_digest = content_digest(data)
        return PreparedRequest(request, data)

    def _encode(
        self,
        request: ClientRequest,
        request_class: RequestClass,
        requests_close: bool,
        response_bytes: int,
    ) -> bytes:
        """Return the bytes of a request; another order of the draws would change what a seed stands for."""
        has_body = request_class.idempotency != Idempotency.IDEMPOTENT
        body = self._draw_body() if has_body else b""
        key = int(RESOURCE_KEY_COUNT * self._random.random() ** 2)
        size = f"&size={response_bytes}" if response_bytes else ""
        lines = [
            f"{'POST' if has_body else 'GET'} /api?k={key:x}{size} HTTP/1.1",
            "Host: backend.local",
            f"Req-Id: {request.request_id}",
            f"Req-Kind: {request_class.name}",
            f"Req-Owner: {self._random.choice(TENANTS)}",
            f"Req-Deadline: {request.timeout_seconds:.3f}",
        ]
        if request_class.idempotency == Idempotency.IDEMPOTENCY_KEY:
            lines.append(f"Idempotency-Key: key-{request.request_id}")
        if has_body:
            lines.append(f"Content-Length: {len(body)}")
        if requests_close:
            lines.append("Connection: close")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    def _draw_body(self) -> bytes:
        is_long = self._random.random() < LONG_BODY_PROBABILITY
        return self._random.randbytes(
            self._random.randrange(MAX_LONG_BODY_BYTES if is_long else MAX_BODY_BYTES)
        )
