"""Open-loop load: requests start at times that are drawn beforehand, however long responses take."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Iterator
from random import Random

REQUEST = (
    b"GET /api?k=7f3a HTTP/1.1\r\nHost: bench\r\nReq-Id: %x\r\nReq-Kind: read\r\nReq-Deadline: 2.5\r\n\r\n"
)
"""A request; its id is the argument of the format."""

RESPONSE_TIMEOUT_SECONDS = 5.0
"""How long a response may take; twice the deadline of a request."""

_Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


def arrival_times(random: Random, requests_per_second: float, seconds: float) -> Iterator[float]:
    """Yield the start times of a Poisson process, in seconds from its start."""
    at_seconds = random.expovariate(requests_per_second)
    while at_seconds < seconds:
        yield at_seconds
        at_seconds += random.expovariate(requests_per_second)


class OpenLoopLoad:
    """Sends requests to a sidecar on as many connections as it takes.

    Args:
        port: The port of the sidecar on 127.0.0.1.

    Attributes:
        responses_by_status: The number of responses so far; a request without a response has status 0.
    """

    def __init__(self, port: int) -> None:
        self.responses_by_status: Counter[int] = Counter()
        self._port = port
        self._idle_connections: list[_Connection] = []
        self._next_request_id = 1

    async def run(self, start_times: Iterator[float]) -> None:
        """Send a request at each time, in seconds from now, and wait for all responses."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        try:
            async with asyncio.TaskGroup() as requests:
                for start_time in start_times:
                    await asyncio.sleep(started_at + start_time - loop.time())
                    requests.create_task(self._send_request())
        finally:
            self._close_idle_connections()

    async def _send_request(self) -> None:
        request = REQUEST % self._next_request_id
        self._next_request_id += 1
        status = 0
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_SECONDS):
                status = await self._exchange(request)
        except (OSError, asyncio.IncompleteReadError, ValueError):  # OSError includes TimeoutError
            pass  # counts as a request without a response
        self.responses_by_status[status] += 1

    async def _exchange(self, request: bytes) -> int:
        """Return the status of the response to a request."""
        if self._idle_connections:
            reader, writer = self._idle_connections.pop()
        else:
            reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
        try:
            writer.write(request)
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            body_length = int(head.partition(b"content-length: ")[2].partition(b"\r\n")[0])
            await reader.readexactly(body_length)
            status = int(head.split(maxsplit=2)[1])
        except BaseException:
            writer.close()
            raise
        self._idle_connections.append((reader, writer))
        return status

    def _close_idle_connections(self) -> None:
        for _reader, writer in self._idle_connections:
            writer.close()
        self._idle_connections.clear()
