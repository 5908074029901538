"""Tests of the program with too few descriptors or sockets: at the start, under a flood, and temporarily."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import json
import os
import resource
import sys
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from socket import create_connection

import pytest

from tests.sidecar.configuration_documents import endpoint_entry
from tests.sidecar.downstream.harness import MALFORMED_REQUEST, READINESS_REQUEST
from tests.sidecar.event_loop import async_test
from tests.sidecar.messages import ok_response, request_bytes
from tests.sidecar.process_harness import (
    REPOSITORY_ROOT,
    ConfigurationFile,
    connect,
    retry_until_result,
    split_address,
    start_process,
)
from tests.sidecar.scripted_endpoint import (
    ReceivedRequest,
    ScriptedEndpoint,
    answer_ok,
    run_endpoint,
    unreachable_address,
)

MAX_DESCRIPTORS = 256


def open_descriptors(process: asyncio.subprocess.Process) -> set[int]:
    """Return the file descriptors that a process has open."""
    return {int(path.name) for path in Path(f"/proc/{process.pid}/fd").iterdir()}


def limit_descriptors(max_descriptors: int) -> Callable[[], None]:
    """Return a function that limits the descriptors of the process in which it is called."""
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    return lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (max_descriptors, hard_limit))


class DiscoveryServer(ScriptedEndpoint):
    """A discovery server at a given address, which sends one snapshot and no further update."""

    def __init__(self, *endpoint_addresses: str) -> None:
        super().__init__(self._answer)
        entries = [endpoint_entry(f"s-{index}", address) for index, address in enumerate(endpoint_addresses)]
        self._snapshot = json.dumps({"seq": 2, "whole": True, "hosts": entries}).encode()

    async def _answer(self, received: ReceivedRequest) -> bytes:
        if b"from=2&" in received.request_line:
            await asyncio.Event().wait()
        return ok_response(self._snapshot)

    async def start(self, listen_address: str) -> asyncio.Server:
        """Listen at an address that was unreachable before."""
        return await asyncio.start_server(self.serve_connection, *split_address(listen_address))


@contextlib.asynccontextmanager
async def run_discovery(listen_address: str, *endpoint_addresses: str) -> AsyncIterator[DiscoveryServer]:
    """Run a discovery server at this address, which lists these endpoints."""
    discovery = DiscoveryServer(*endpoint_addresses)
    server = await discovery.start(listen_address)
    try:
        yield discovery
    finally:
        server.close()


@contextlib.asynccontextmanager
async def run_flooded_process(
    configuration_file: ConfigurationFile, discovery_address: str
) -> AsyncIterator[asyncio.subprocess.Process]:
    """Run a sidecar that knows no endpoint, with twice as many clients as it may have descriptors.

    Most clients do not send a complete request. Discovery is down at first.
    """
    limits = {"sockets": MAX_DESCRIPTORS, "memory_mb": 64}
    configuration_file.write(discovery=discovery_address, limits=limits)
    process = await start_process(configuration_file.path, preexec_fn=limit_descriptors(MAX_DESCRIPTORS))
    listen_address = configuration_file.listen_address
    first_bytes = (b"", request_bytes()[:-2], READINESS_REQUEST, b"", MALFORMED_REQUEST, request_bytes())
    with contextlib.ExitStack() as clients:
        (await connect(listen_address)).writer.close()
        for index in range(2 * MAX_DESCRIPTORS):
            client = clients.enter_context(create_connection(split_address(listen_address)))
            client.sendall(first_bytes[index % len(first_bytes)])
            assert len(open_descriptors(process)) < MAX_DESCRIPTORS
            await asyncio.sleep(0)
        yield process
    process.terminate()
    assert await process.wait() == 0


@async_test
async def test_flood_of_clients_blocks_no_calls_to_discovery_or_endpoints_and_no_other_clients(
    configuration_file: ConfigurationFile,
) -> None:
    listen_address, discovery_address = configuration_file.listen_address, unreachable_address()

    async def status_once_listed() -> int | None:
        """Return the status of a request, or None while the sidecar has no endpoint list."""
        status = (await (await connect(listen_address)).exchange(request_bytes("post")))[0]
        return None if status == 503 else status

    async with (
        run_endpoint(answer_ok) as endpoint,
        run_flooded_process(configuration_file, discovery_address) as process,
    ):
        assert (await (await connect(listen_address)).exchange(request_bytes()))[0] == 503
        async with run_discovery(discovery_address, endpoint.address) as discovery:
            await discovery.request_arrived.wait()
            assert await retry_until_result(status_once_listed, interval_seconds=0) == 200
            assert len(endpoint.received_requests) == 1
            assert len(open_descriptors(process)) < MAX_DESCRIPTORS


@async_test
async def test_sidecar_without_endpoints_and_discovery_becomes_ready_under_flood(
    configuration_file: ConfigurationFile,
) -> None:
    listen_address = configuration_file.listen_address

    async def is_ready() -> bool | None:
        client = await connect(listen_address)
        status = 503
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            status = (await client.exchange(READINESS_REQUEST))[0]
        client.writer.close()
        return True if status == 200 else None

    async with run_flooded_process(configuration_file, unreachable_address()):
        await retry_until_result(is_ready)
        assert (await (await connect(listen_address)).exchange(request_bytes()))[0] == 503


PROGRAM_WITH_FAILING_START = """
import errno, os, socket, sys
from balancer.__main__ import main

create_server, failures = socket.create_server, [int(sys.argv[1])] * 3

def fail_at_first(*arguments, **options):
    if failures:
        number = failures.pop()
        raise OSError(number, os.strerror(number))
    return create_server(*arguments, **options)

socket.create_server = fail_at_first
sys.exit(main())
"""
"""Runs the sidecar, with the first three calls of `socket.create_server` failing with the errno in argv."""


@pytest.mark.parametrize("error_number", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM])
@async_test
async def test_start_is_retried_until_a_listening_socket_can_be_opened(
    configuration_file: ConfigurationFile, error_number: int
) -> None:
    async with run_endpoint(answer_ok) as endpoint:
        configuration_file.write(endpoint.address)
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-c", PROGRAM_WITH_FAILING_START, str(error_number)),
            env=os.environ | {"PROXY_CONFIG": str(configuration_file.path)},
            cwd=REPOSITORY_ROOT,
        )
        connecting = asyncio.ensure_future(connect(configuration_file.listen_address))
        ending = asyncio.ensure_future(process.wait())
        await asyncio.wait((connecting, ending), return_when=asyncio.FIRST_COMPLETED)
        assert not ending.done(), "the process has ended instead of listening"
        client = await connecting
        assert (await client.exchange(request_bytes()))[0] == 200
        client.writer.close()
        process.terminate()
        assert await ending == 0


@async_test
async def test_new_connections_wait_while_no_descriptor_is_free_and_are_answered_afterwards(
    configuration_file: ConfigurationFile,
) -> None:
    listen_address, discovery_address = configuration_file.listen_address, unreachable_address()
    async with run_endpoint(answer_ok) as endpoint:
        configuration_file.write(endpoint.address, discovery=discovery_address)
        process = await start_process(configuration_file.path, stderr=asyncio.subprocess.PIPE)
        open_client = await connect(listen_address)
        assert (await open_client.exchange(request_bytes()))[0] == 200
        limits = resource.prlimit(process.pid, resource.RLIMIT_NOFILE)
        highest_in_use = max(open_descriptors(process))
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (highest_in_use + 1, limits[1]))
        clients = [await connect(listen_address) for _ in range(40)]  # a few of them get a descriptor
        responses = [asyncio.ensure_future(client.exchange(request_bytes())) for client in clients]
        assert (await open_client.exchange(request_bytes()))[0] == 200
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, limits)
        assert [(await response)[0] for response in responses] == [200] * len(clients)
        async with run_discovery(discovery_address, endpoint.address) as discovery:
            await discovery.request_arrived.wait()
            assert (await (await connect(listen_address)).exchange(request_bytes()))[0] == 200
        for client in (*clients, open_client):
            client.writer.close()
        process.terminate()
        assert await process.wait() == 0
        assert process.stderr is not None
        assert await process.stderr.read() == b""
