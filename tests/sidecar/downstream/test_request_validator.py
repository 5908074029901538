"""Tests of the header fields of the sidecar's protocol: their validation, and which are forwarded."""

from __future__ import annotations

import pytest

from balancer.sidecar.downstream.request_validator import parse_deadline_ns, parse_work_hint_ns
from balancer.sidecar.http.request import HttpRequestError
from tests.sidecar.downstream.harness import check_rejection
from tests.sidecar.event_loop import async_test
from tests.sidecar.messages import request_bytes
from tests.sidecar.scripted_endpoint import answer_ok, run_endpoint
from tests.sidecar.sidecar_under_test import run_sidecar

INVALID_REQUESTS = [
    (request_bytes(request_id="9b1f").replace(b"Req-Kind: read", b"Req-Kind: odd"), 400),
    (request_bytes(request_id="9b1f").replace(b"Req-Id: 9b1f\r\n", b""), 400),
    (request_bytes(request_id="9b 1f"), 400),
    (request_bytes(deadline="soon"), 400),
    (request_bytes(deadline="nan"), 400),
    (request_bytes(deadline="inf"), 400),
    (request_bytes(deadline="1_0"), 400),
    (request_bytes(deadline="1e3"), 400),
    (request_bytes(deadline="-1"), 400),
    (request_bytes(deadline="0.000"), 400),
    (request_bytes(body=b"a safe request has none"), 400),
    (request_bytes("post").replace(b"POST", b"PUT"), 405),
]


@pytest.mark.parametrize(("raw", "status"), INVALID_REQUESTS)
@async_test
async def test_invalid_request_is_rejected_and_its_connection_closed(raw: bytes, status: int) -> None:
    await check_rejection(raw, status)


@async_test
async def test_only_headers_of_the_protocol_are_forwarded() -> None:
    async with run_endpoint(answer_ok) as endpoint, run_sidecar(endpoint.address) as sidecar:
        client = await sidecar.connect_client()
        forwarded = b"Req-Retry: 1\r\nReq-Extra: a=1\r\nReq-Cost: 900\r\n"
        dropped = b"X-Trace: 7\r\nTE: trailers\r\nIdempotency-Key: k\r\nSrv-Load: x\r\n"
        response = await client.exchange(request_bytes("post", body=b"x", extra_headers=forwarded + dropped))
        assert response[0] == 200
        assert set(endpoint.received_requests[0].headers) == {
            b"host",
            b"req-id",
            b"req-kind",
            b"req-retry",
            b"req-extra",
            b"req-cost",
            b"req-deadline",
            b"content-length",
        }


def test_numbers_are_parsed_to_nanoseconds() -> None:
    assert parse_deadline_ns(b"0.480") == 480_000_000
    assert parse_work_hint_ns(b"900") == 900_000


@pytest.mark.parametrize("text", [b"1_0", b"-1", b"9" * 13, b""])
def test_malformed_work_hint_counts_as_unknown(text: bytes) -> None:
    assert parse_work_hint_ns(text) == 0


def test_deadline_in_digits_other_than_ascii_is_rejected() -> None:
    with pytest.raises(HttpRequestError):
        parse_deadline_ns("\u0661".encode())


@async_test
async def test_deadline_is_limited_to_client_timeout_of_class() -> None:
    async with run_endpoint(answer_ok) as endpoint, run_sidecar(endpoint.address) as sidecar:
        client = await sidecar.connect_client()
        assert (await client.exchange(request_bytes(deadline="999999999")))[0] == 200
        assert float(endpoint.received_requests[0].headers[b"req-deadline"]) <= 9
