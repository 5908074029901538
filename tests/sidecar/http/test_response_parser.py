"""Tests of the response parser: its errors for unusable responses, and whether a connection is kept alive."""

from __future__ import annotations

from collections.abc import Iterator

import httptools
import pytest

from balancer.sidecar.http.buffer_budget import BufferBudget
from balancer.sidecar.http.message import MAX_HEAD_BYTES, HttpResponse
from balancer.sidecar.http.response_parser import (
    AmbiguousLengthError,
    BufferBudgetExceededError,
    MalformedResponseError,
    ResponseParser,
    ResponseTooLargeError,
    TooManyHeadersError,
)
from tests.sidecar.memory import held_bytes
from tests.sidecar.messages import ok_response

MAX_BODY_BYTES = 1000
COMPLETE = b"HTTP/1.1 200 OK\r\nX-Shard: 7\r\nContent-Length: 4\r\n\r\ndone"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\n\r\n"
UNCOUNTED_BYTES = 16 * 1024
"""Memory that a parser may take beyond its share of the budget, for its own objects."""


def parser_awaiting_response(budget_bytes: int = 10 * MAX_BODY_BYTES) -> ResponseParser:
    parser = ResponseParser(BufferBudget(budget_bytes))
    parser.begin_response(MAX_BODY_BYTES)
    return parser


@pytest.mark.parametrize("part_length", [1, 7, len(COMPLETE)])
def test_response_is_the_same_however_it_is_split(part_length: int) -> None:
    parser = parser_awaiting_response()
    parts = [COMPLETE[start : start + part_length] for start in range(0, len(COMPLETE), part_length)]
    responses = [parser.feed(part) for part in parts]
    assert responses[:-1] == [None] * (len(parts) - 1)
    assert responses[-1] == HttpResponse(200, [(b"x-shard", b"7"), (b"content-length", b"4")], b"done")
    assert parser.keeps_alive
    assert parser.received_bytes == len(COMPLETE)


@pytest.mark.parametrize(
    ("raw", "size_bytes", "max_bytes"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n", 1001, MAX_BODY_BYTES),
        (WITHOUT_LENGTH + b"x" * 1001, 1001, MAX_BODY_BYTES),
        (CHUNKED + b"3e9\r\n" + b"x" * 1001, 1001, MAX_BODY_BYTES),
        (b"HTTP/1.1 200 OK\r\nA: " + b"x" * MAX_HEAD_BYTES + b"\r\nB", MAX_HEAD_BYTES + 1, MAX_HEAD_BYTES),
        (b"HTTP/1.1 200 OK\r\nA: " + b"x" * MAX_HEAD_BYTES, MAX_HEAD_BYTES + 20, MAX_HEAD_BYTES),
        (
            CHUNKED + b"1;" + b"x" * (MAX_HEAD_BYTES + 2 * MAX_BODY_BYTES),
            len(CHUNKED) + 2 + MAX_HEAD_BYTES + 2 * MAX_BODY_BYTES,
            MAX_HEAD_BYTES + 2 * MAX_BODY_BYTES,
        ),
    ],
    ids=["stated length", "no length", "chunk", "header", "unfinished header", "chunk extension"],
)
def test_too_large_response_raises_error(raw: bytes, size_bytes: int, max_bytes: int) -> None:
    with pytest.raises(ResponseTooLargeError) as caught:
        parser_awaiting_response().feed(raw)
    assert (caught.value.size_bytes, caught.value.max_bytes) == (size_bytes, max_bytes)


def test_response_with_two_transfer_encodings_raises_error() -> None:
    raw = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n"
    with pytest.raises(AmbiguousLengthError) as caught:
        parser_awaiting_response().feed(raw)
    assert caught.value.header_values == (b"gzip", b"chunked")


@pytest.mark.parametrize(
    "raw",
    [
        b"\x00 noise",
        b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 3\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
    ],
    ids=["noise", "length", "two lengths", "length and chunked", "upgrade"],
)
def test_malformed_response_raises_error(raw: bytes) -> None:
    with pytest.raises(MalformedResponseError):
        parser_awaiting_response().feed(raw)


def test_body_beyond_shared_buffer_budget_raises_error() -> None:
    budget = BufferBudget(1500)
    first, second = ResponseParser(budget), ResponseParser(budget)
    for parser in (first, second):
        parser.begin_response(MAX_BODY_BYTES)
    assert first.feed(WITHOUT_LENGTH + b"x" * 1000) is None
    with pytest.raises(BufferBudgetExceededError) as caught:
        second.feed(WITHOUT_LENGTH + b"x" * 501)
    assert (caught.value.size_bytes, caught.value.used_bytes, caught.value.max_bytes) == (501, 1000, 1500)
    second.release_buffer()
    assert budget.used_bytes == 1000
    first.release_buffer()
    assert budget.used_bytes == 0


@pytest.mark.parametrize("surplus", [b" noise", COMPLETE, b"HTTP/1.1 103 Early Hints\r\n\r\n"])
def test_surplus_bytes_leave_response_valid_and_close_connection(surplus: bytes) -> None:
    parser = parser_awaiting_response()
    response = parser.feed(COMPLETE + surplus)
    assert response is not None
    assert (response.status, response.body) == (200, b"done")
    assert not parser.keeps_alive


def test_end_of_connection_completes_only_response_without_length() -> None:
    parser = parser_awaiting_response()
    assert parser.response_at_end_of_connection() is None
    assert parser.feed(WITHOUT_LENGTH + b"do") is None
    assert parser.feed(b"ne") is None
    assert parser.response_at_end_of_connection() == HttpResponse(200, [], b"done")
    parser.begin_response(MAX_BODY_BYTES)
    assert parser.feed(COMPLETE[:-1]) is None
    assert parser.response_at_end_of_connection() is None


def test_interim_response_is_skipped_with_its_headers() -> None:
    response = parser_awaiting_response().feed(b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + COMPLETE)
    assert response == HttpResponse(200, [(b"x-shard", b"7"), (b"content-length", b"4")], b"done")


def test_httptools_reports_keep_alive_only_inside_its_callback() -> None:
    """The parser relies on this: after the callback, httptools always reports no keep-alive."""
    results: list[bool] = []

    class Callbacks:
        def on_message_complete(self) -> None:
            results.append(parser.should_keep_alive())

    parser = httptools.HttpResponseParser(Callbacks())
    parser.feed_data(ok_response())
    assert results == [True]
    assert not parser.should_keep_alive()


def test_second_response_in_same_segment_is_ignored() -> None:
    second = b"HTTP/1.1 500 Late\r\nX-Other: 1\r\nContent-Length: 5\r\n\r\nother"
    response = parser_awaiting_response().feed(COMPLETE + second)
    assert response == HttpResponse(200, [(b"x-shard", b"7"), (b"content-length", b"4")], b"done")


def test_trailer_after_body_larger_than_head_limit_is_accepted() -> None:
    parser = ResponseParser(BufferBudget(10 * MAX_HEAD_BYTES))
    parser.begin_response(2 * MAX_HEAD_BYTES)
    size = MAX_HEAD_BYTES + 1
    response = parser.feed(CHUNKED + b"%x\r\n%s\r\n0\r\nX-Sum: 1\r\n\r\n" % (size, b"x" * size))
    assert response is not None
    assert len(response.body) == size


def test_trailers_larger_than_head_limit_raise_error() -> None:
    with pytest.raises(ResponseTooLargeError):
        parser_awaiting_response().feed(CHUNKED + b"0\r\nA: " + b"x" * MAX_HEAD_BYTES + b"\r\n\r\n")


def chunks_of(size_bytes: int) -> Iterator[bytes]:
    """Yield the head of a chunked response, then 40,000 bytes in chunks of this size, in small segments."""
    yield CHUNKED
    chunk = b"%x\r\n%s\r\n" % (size_bytes, b"x" * size_bytes)
    segment = chunk * 100
    for _ in range(40_000 // size_bytes // 100):
        yield segment


def unfinished_head() -> Iterator[bytes]:
    yield b"HTTP/1.1 200 OK\r\n"
    for _ in range(75):
        yield b"a:\r\n" * 100


def unfinished_trailers() -> Iterator[bytes]:
    yield CHUNKED + b"4\r\ndone\r\n0\r\n"
    for _ in range(75):
        yield b"a:\r\n" * 100


def unfinished_header() -> Iterator[bytes]:
    yield b"HTTP/1.1 200 OK\r\nA: "
    for _ in range(300):
        yield b"x" * 100


@pytest.mark.parametrize(
    "segments",
    [
        list(chunks_of(1)),
        list(chunks_of(4)),
        list(chunks_of(16)),
        list(unfinished_head()),
        list(unfinished_trailers()),
        list(unfinished_header()),
    ],
    ids=["chunks of 1", "chunks of 4", "chunks of 16", "head", "trailers", "header"],
)
def test_unfinished_response_in_small_pieces_holds_no_more_memory_than_is_counted(
    segments: list[bytes],
) -> None:
    """Guards against a process killed for memory, as `review/7` shows: 14 times what the budget counted."""
    budget = BufferBudget(10 * 1024 * 1024)
    parser = ResponseParser(budget)

    def receive() -> None:
        parser.begin_response(1024 * 1024)
        for segment in segments:
            assert parser.feed(segment) is None

    held = held_bytes(receive)
    assert held > UNCOUNTED_BYTES  # the response is long enough to tell
    # A growing byte array has an eighth in reserve.
    assert held <= budget.used_bytes * 9 / 8 + UNCOUNTED_BYTES


def test_released_parser_keeps_nothing_of_the_response() -> None:
    """Guards against resting connections that each keep their last response, which no budget counts."""
    parser = ResponseParser(BufferBudget(1024 * 1024))

    def receive() -> None:
        parser.begin_response(1024 * 1024)
        body = b"x" * 500_000
        assert parser.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 500000\r\n\r\n" + body) is not None
        parser.release_buffer()

    assert held_bytes(receive) <= UNCOUNTED_BYTES
    assert parser.budget.used_bytes == 0
    assert parser.keeps_alive


def test_head_with_more_headers_than_its_limit_in_bytes_allows_raises_error() -> None:
    """Guards against one segment with far more headers than the limit on the bytes of a head allows."""
    with pytest.raises(TooManyHeadersError):
        parser_awaiting_response().feed(b"HTTP/1.1 200 OK\r\n" + b"a:\r\n" * 60_000)


def test_trailers_that_never_end_raise_error() -> None:
    """Guards against one trailer that grows up to the limit of the whole response, uncounted."""
    parser = ResponseParser(BufferBudget(10 * 1024 * 1024))
    parser.begin_response(1024 * 1024)
    assert parser.feed(CHUNKED + b"4\r\ndone\r\n0\r\nA: ") is None
    for _ in range(MAX_HEAD_BYTES // 1000):
        assert parser.feed(b"x" * 1000) is None
    with pytest.raises(ResponseTooLargeError) as caught:
        parser.feed(b"x" * 1000)
    assert caught.value.max_bytes == MAX_HEAD_BYTES


def test_interim_responses_in_turn_release_the_count_of_their_headers() -> None:
    parser = parser_awaiting_response()
    for _ in range(3):
        assert parser.feed(b"HTTP/1.1 103 Early Hints\r\nLink: x\r\nLink: y\r\n\r\n") is None
    response = parser.feed(COMPLETE)
    assert response is not None
    assert response.body == b"done"
