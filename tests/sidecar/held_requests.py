"""Endpoints that hold their requests until the test has them answered."""

from __future__ import annotations

import asyncio
from collections import Counter

from tests.sidecar.messages import ok_response
from tests.sidecar.scripted_endpoint import ReceivedRequest, Script


class HeldRequests:
    """The requests that endpoints hold."""

    def __init__(self) -> None:
        self.counts = Counter[str]()
        """Number of requests that each endpoint holds, by its name."""
        self.arrivals: asyncio.Queue[str] = asyncio.Queue()
        """The name of the endpoint of each request, in the order of their arrival."""
        self._may_answer: dict[str, list[asyncio.Event]] = {}

    def script(self, name: str) -> Script:
        """Return the script of the endpoint with this name."""

        async def hold(_request: ReceivedRequest) -> bytes:
            may_answer = asyncio.Event()
            self._may_answer.setdefault(name, []).append(may_answer)
            self.counts[name] += 1
            self.arrivals.put_nowait(name)
            await may_answer.wait()
            return ok_response()

        return hold

    def scripts(self, endpoint_count: int) -> list[Script]:
        """Return the scripts of this many endpoints, which are named by their numbers."""
        return [self.script(str(index)) for index in range(endpoint_count)]

    def answer_oldest(self, name: str) -> None:
        """Let this endpoint answer the request that it has held for the longest time."""
        self._may_answer[name].pop(0).set()
        self.counts[name] -= 1

    def answer_all(self) -> None:
        """Let the endpoints answer all requests that they hold."""
        for name, may_answer in self._may_answer.items():
            for _ in list(may_answer):
                self.answer_oldest(name)
