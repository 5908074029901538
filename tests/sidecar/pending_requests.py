"""Endpoints that send their responses only when the test releases them."""

from __future__ import annotations

import asyncio
from collections import Counter

from tests.sidecar.messages import ok_response
from tests.sidecar.scripted_endpoint import ReceivedRequest, Script


class PendingRequests:
    """The pending requests of endpoints, whose responses wait for the test to release them."""

    def __init__(self) -> None:
        self.counts = Counter[str]()
        """Number of pending requests of each endpoint, by its name."""
        self.arrivals: asyncio.Queue[str] = asyncio.Queue()
        """The name of the endpoint that received each request, in the order of arrival."""
        self._release_events: dict[str, list[asyncio.Event]] = {}

    def script(self, name: str) -> Script:
        """Return the script of the endpoint with this name."""

        async def wait_for_release(_request: ReceivedRequest) -> bytes:
            released = asyncio.Event()
            self._release_events.setdefault(name, []).append(released)
            self.counts[name] += 1
            self.arrivals.put_nowait(name)
            await released.wait()
            return ok_response()

        return wait_for_release

    def scripts(self, endpoint_count: int) -> list[Script]:
        """Return the scripts of this many endpoints, whose names are their numbers, starting from 0."""
        return [self.script(str(index)) for index in range(endpoint_count)]

    def answer_oldest(self, name: str) -> None:
        """Let this endpoint answer its oldest pending request."""
        self._release_events[name].pop(0).set()
        self.counts[name] -= 1

    def answer_all(self) -> None:
        """Let the endpoints answer all pending requests."""
        for name, events in self._release_events.items():
            for _ in list(events):
                self.answer_oldest(name)
