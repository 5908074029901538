"""Two things in one instant, forced over loopback sockets: what each pair of them comes to."""

from __future__ import annotations

from typing import Any

from cranespindle import api
from tests.sidecar import SETTINGS, endpoint, never, request, run, sidecar


def settings(*changes: dict[str, Any], **others: Any) -> dict[str, Any]:
    """The usual settings, each of the first classes changed."""
    told: Any = SETTINGS["Categories"]
    classes = [cls | change for cls, change in zip(told, changes, strict=False)] + told[len(changes) :]
    return SETTINGS | {"Categories": classes} | others


def test_a_deadline_that_the_loop_calls_early_lets_no_second_copy_out() -> None:
    """The first attempt was kept for its connection, and a further one went out in the last moment."""

    async def test() -> None:
        patient = settings({"AimNs": 8_000_000_000})
        async with (
            endpoint(never) as one,
            endpoint(never) as other,
            sidecar(one.dial, other.dial, settings=patient) as node,
        ):
            begun = node.host.now()
            node.host.now = lambda: begun  # for the decisions the time never comes; for the loop it does
            client = await node.client()
            assert (await client.ask(request(deadline="0.2")))[0] == 503
            assert len(node.host.upstream.outlived) == 1
            assert (await node.event(lambda e: isinstance(e, api.Completed))).outcome == api.Outcome.TIMEOUT
            moot = await node.event(lambda e: isinstance(e, api.Completed) and e.attempt == 1)
            assert moot.outcome == api.Outcome.MOOT
            assert one.connections + other.connections == 1

    run(test())
