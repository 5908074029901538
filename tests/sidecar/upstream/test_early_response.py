"""Tests of responses that arrive while a part of their request is still to be sent."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest

from balancer.policy_api import AttemptOutcome
from balancer.sidecar.http.message import HttpResponse
from balancer.sidecar.upstream.attempt import AttemptState
from balancer.sidecar.upstream.pool import CONNECTION_REUSE_DELAY_NS
from balancer.time_units import SECOND_NS
from tests.sidecar.event_loop import async_test, wait_until
from tests.sidecar.messages import ok_response, request_bytes, status_response
from tests.sidecar.upstream.harness import (
    OutcomeQueue,
    create_upstream,
    endpoint_with_small_buffer,
    shrink_send_buffers,
    start_attempt,
)

READ_BYTES = 1024
"""How many bytes the endpoint buffers for a connection that it does not read, to within a factor of two."""

LONG_REQUEST = request_bytes("post", body=b"x" * 60_000)
SHORT_REQUEST = request_bytes(request_id="77")
REJECTION = status_response(503, b"Srv-Declined: 1")


class EarlyRespondingEndpoint:
    """An endpoint that responds on its first connection once it has read the head of a request.

    It reads the rest only when the test lets it, and serves every later connection as usual.
    """

    def __init__(self, early_response: bytes) -> None:
        self.received: list[bytearray] = []
        """What each connection has received, the oldest connection first."""
        self.may_read_rest = asyncio.Event()
        self._early_response = early_response

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Respond to one request, and read until the sidecar closes the connection."""
        received = bytearray()
        self.received.append(received)
        is_first = len(self.received) == 1
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            received += await reader.readuntil(b"\r\n\r\n")
            writer.write(self._early_response if is_first else ok_response())
            if is_first:
                await self.may_read_rest.wait()
            while part := await reader.read(READ_BYTES):
                received += part
        writer.close()


@contextlib.asynccontextmanager
async def run_early_responding_endpoint(
    early_response: bytes,
) -> AsyncIterator[tuple[EarlyRespondingEndpoint, str]]:
    """Run the endpoint, and yield it with its address."""
    async with endpoint_with_small_buffer() as (listening_socket, address):
        endpoint = EarlyRespondingEndpoint(early_response)
        server = await asyncio.start_server(
            endpoint.serve_connection, sock=listening_socket.dup(), limit=READ_BYTES
        )
        try:
            yield endpoint, address
        finally:
            server.close()


@async_test
async def test_request_is_not_written_into_the_unsent_rest_of_a_rejected_request() -> None:
    # Guards against: an endpoint takes the end of one body for a request, and its answer goes to a stranger.
    async with run_early_responding_endpoint(REJECTION) as (endpoint, address):
        now_ns = SECOND_NS
        _, upstream, _ = create_upstream(address, now_ns=lambda: now_ns)
        shrink_send_buffers(upstream)
        outcomes = OutcomeQueue()
        start_attempt(upstream, "s-0", outcomes.record, build_payload=lambda: LONG_REQUEST)
        assert await outcomes.get() == AttemptOutcome.REJECTED
        now_ns += CONNECTION_REUSE_DELAY_NS + 1
        start_attempt(upstream, "s-0", outcomes.record, build_payload=lambda: SHORT_REQUEST)
        endpoint.may_read_rest.set()
        await wait_until(lambda: any(b"Req-Id: 77" in received for received in endpoint.received))
        assert [b"Req-Id: 77" in received for received in endpoint.received] == [False, True]
        assert await outcomes.get() == AttemptOutcome.SUCCESS
        [partial_request, whole_request] = endpoint.received
        assert LONG_REQUEST.startswith(partial_request)
        assert whole_request == SHORT_REQUEST


@async_test
async def test_request_does_not_wait_in_the_kernel_behind_the_rest_of_a_rejected_request() -> None:
    # Guards against: a request reaches its endpoint seconds late, with a deadline that is no longer true.
    async with run_early_responding_endpoint(REJECTION) as (endpoint, address):
        now_ns = SECOND_NS
        _, upstream, _ = create_upstream(address, now_ns=lambda: now_ns)
        outcomes = OutcomeQueue()
        attempt = start_attempt(upstream, "s-0", outcomes.record, build_payload=lambda: LONG_REQUEST)
        await wait_until(lambda: attempt.state is AttemptState.IN_FLIGHT)
        assert not attempt.end_unless_sent()  # the kernel has taken the whole request
        assert await outcomes.get() == AttemptOutcome.REJECTED
        now_ns += CONNECTION_REUSE_DELAY_NS + 1
        start_attempt(upstream, "s-0", outcomes.record, build_payload=lambda: SHORT_REQUEST)
        # The endpoint reads nothing more on its first connection.
        assert await outcomes.get() == AttemptOutcome.SUCCESS
        assert endpoint.received[1:] == [SHORT_REQUEST]


@pytest.mark.parametrize(
    ("has_small_send_buffer", "outcome"),
    [(True, AttemptOutcome.CONNECT_FAILED), (False, AttemptOutcome.CONNECTION_RESET)],
    ids=["unsent", "in the kernel"],
)
@async_test
async def test_success_before_the_request_has_arrived_is_not_its_response(
    has_small_send_buffer: bool, outcome: AttemptOutcome
) -> None:
    # Guards against: a client gets the late second response to the earlier request of someone else.
    foreign_response = ok_response(b"the answer to an earlier request")
    async with run_early_responding_endpoint(foreign_response) as (_endpoint, address):
        _, upstream, pool = create_upstream(address)
        if has_small_send_buffer:
            shrink_send_buffers(upstream)
        completions: asyncio.Queue[tuple[AttemptOutcome, HttpResponse | None]] = asyncio.Queue()
        start_attempt(
            upstream,
            "s-0",
            lambda outcome, response: completions.put_nowait((outcome, response)),
            build_payload=lambda: LONG_REQUEST,
        )
        assert await completions.get() == (outcome, None)
        assert not pool.idle_connections
