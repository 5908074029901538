"""Tests of the account servers of the soak: early rejections, and what they record of a request."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

import pytest

from soak.account_server.http_messages import REJECTION_RESPONSE
from soak.account_server.server import AccountServer, ServerIdentity
from soak.account_server.server_fault import ServerFault
from soak.history.clock import HarnessClock
from soak.history.events import AttemptEnd
from soak.history.history import History
from soak.request_content import content_digest
from tests.sidecar.event_loop import TEST_TIMEOUT_SECONDS, wait_until
from tests.soak.histories import deployment

BODY = b"x" * 40_000
HEAD = b"POST /api HTTP/1.1\r\nReq-Id: n0-1\r\nReq-Deadline: 1.000\r\nContent-Length: 40000\r\n\r\n"


def run_with_server(test: Callable[[AccountServer, History], Awaitable[None]]) -> None:
    """Run a test with a running account server."""

    async def run() -> None:
        history = History()
        identity = ServerIdentity("s0", "zone-a", 0, "127.0.0.1")
        server = AccountServer(identity, deployment(), HarnessClock(), history, Random(1))
        await server.start(needs_warm_up=False)
        try:
            await test(server, history)
        finally:
            server.stop()

    asyncio.run(asyncio.wait_for(run(), TEST_TIMEOUT_SECONDS))


def test_long_request_is_rejected_before_it_has_arrived_and_recorded_as_rejected_then() -> None:
    async def test(server: AccountServer, history: History) -> None:
        server.fault = ServerFault.REJECT_EARLY
        reader, writer = await asyncio.open_connection(*server.address)
        writer.write(HEAD)
        assert await reader.readexactly(len(REJECTION_RESPONSE)) == REJECTION_RESPONSE
        writer.write(BODY)
        await wait_until(lambda: history.attempts)
        [attempt] = history.attempts
        assert attempt.end == AttemptEnd.REJECTED
        assert attempt.ended_at_seconds == attempt.received_at_seconds
        assert attempt.content_digest == content_digest(HEAD + BODY)
        writer.close()

    run_with_server(test)


def test_bytes_that_are_no_request_of_a_client_are_recorded() -> None:
    async def test(server: AccountServer, history: History) -> None:
        _reader, writer = await asyncio.open_connection(*server.address)
        writer.write(b"xx Content-Length: none\r\nContent-Length: none\r\nReq-Deadline: soon\r\n\r\n")
        await wait_until(lambda: history.attempts)
        [attempt] = history.attempts
        assert attempt.request_id == ""
        writer.close()

    run_with_server(test)


@pytest.mark.parametrize(
    "changed",
    [
        HEAD.replace(b"/api", b"/other") + BODY,
        HEAD.replace(b"n0-1", b"n0-2") + BODY,
        HEAD + BODY[:-1] + b"y",
        HEAD.replace(b"Req-Id", b"Idempotency-Key: k\r\nReq-Id") + BODY,
    ],
)
def test_digest_covers_what_is_passed_on(changed: bytes) -> None:
    assert content_digest(changed) != content_digest(HEAD + BODY)


def test_digest_ignores_fields_that_a_sidecar_may_change() -> None:
    assert content_digest(HEAD.replace(b"1.000", b"0.900") + BODY) == content_digest(HEAD + BODY)
