"""Tests of the grammar of requests: which heads are accepted, and how others are rejected."""

from __future__ import annotations

import pytest

from balancer.sidecar.http.message import MAX_HEAD_BYTES
from balancer.sidecar.http.request import parse_request_head
from tests.sidecar.downstream.harness import MALFORMED_REQUEST, check_rejection
from tests.sidecar.event_loop import async_test
from tests.sidecar.messages import request_bytes

POST = b"POST / HTTP/1.1\r\n%s\r\n\r\n"

MALFORMED_REQUESTS = [
    (MALFORMED_REQUEST, 400),
    (b"\x16\x03\x01\x02", 400),  # TLS: the end of a head never arrives
    (b"GET /up HTTP/1.1\nHost: x\n\n", 400),
    (b"GET http://other/ HTTP/1.1\r\n\r\n", 400),
    (POST % b"Content-Length: x", 400),
    (POST % b"Content-Length: -5", 400),
    (POST % b"Content-Length: +5", 400),
    (POST % b"Content-Length: 1_0", 400),
    (POST % b"Content-Length: 5, 5", 400),
    (POST % b"Content-Length: 5\r\nContent-Length: 6", 400),
    (POST % b"Content-Length: 5\r\nContent-Length: 5", 400),
    (POST % b"Content-Length: 5\r\nTransfer-Encoding: chunked", 400),
    (POST % b"Transfer-Encoding: chunked\r\ncontent-length: 5", 400),
    (POST % b"Content-Length : 5", 400),
    (POST % b"X: a\r\n Content-Length: 5", 400),  # a folded line
    (POST % b"X: a\x00b", 400),
    (POST % b"X: a\rContent-Length: 5", 400),
    (POST % b"Transfer-Encoding: chunked", 411),
    (POST % b"Transfer-Encoding: gzip", 501),
    (POST % b"Expect: miracles", 417),
    (request_bytes(request_id="9b1f", extra_headers=b"Req-Id: 9b20\r\n"), 400),
    (request_bytes("post", body=b"x" * 65_537), 413),
    (POST % b"Content-Length: 60000000", 413),
    (POST % b"Content-Length: 99999999999999999999", 400),
    (request_bytes(extra_headers=b"X: " + b"x" * 40_000 + b"\r\n"), 431),
    (b"GET / HTTP/1.1\r\nX: " + b"x" * (MAX_HEAD_BYTES + 1), 431),  # an incomplete head
    (b"GET /" + b"a" * (MAX_HEAD_BYTES + 1), 414),
    (request_bytes().replace(b"/api", b"/" + b"a" * 40_000), 414),
    (request_bytes(extra_headers=b"Connection: upgrade\r\nUpgrade: h2c\r\n"), 400),
]


@pytest.mark.parametrize(("raw", "status"), MALFORMED_REQUESTS)
@async_test
async def test_malformed_request_is_rejected_and_its_connection_closed(raw: bytes, status: int) -> None:
    await check_rejection(raw, status)


@pytest.mark.parametrize(
    ("raw", "content_length", "keeps_alive"),
    [
        (b"\r\nGET /a?b HTTP/1.1\r\nX:\t y \x80\r\n\r\n", 0, True),
        (b"POST / HTTP/1.1\r\ncontent-LENGTH:  7\t\r\nConnection: x, Close\r\n\r\n", 7, False),
        (b"GET / HTTP/1.0\r\n\r\n", 0, False),
    ],
)
def test_valid_head_is_parsed(raw: bytes, content_length: int, keeps_alive: bool) -> None:
    head = parse_request_head(raw)
    assert (head.content_length, head.keeps_alive) == (content_length, keeps_alive)
