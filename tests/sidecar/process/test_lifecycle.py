"""The program in a process of its own: start, configuration, signals, shutdown and scarce descriptors."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import json
import os
import resource
import signal
import subprocess
import sys
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from socket import create_connection
from typing import Any

import pytest

from tests.sidecar.downstream.harness import CLOSE_HEADER, MALFORMED_REQUEST, READINESS_REQUEST
from tests.sidecar.harness import (
    SETTINGS,
    Client,
    ReceivedRequest,
    ScriptedEndpoint,
    answer_ok,
    async_test,
    configuration,
    endpoint_entry,
    ok_response,
    request_bytes,
    run_endpoint,
    unreachable_address,
)
from tests.sidecar.process_harness import (
    COMMAND,
    REPOSITORY_ROOT,
    ConfigurationFile,
    connect,
    retry_until_result,
    split_address,
    start_process,
    wait_until_refused,
)

MAX_DESCRIPTORS = 256
KEPT_CONFIGURATION_LINE = b"the old configuration stays"


@pytest.fixture
def configuration_file(tmp_path: Path) -> ConfigurationFile:
    return ConfigurationFile(tmp_path)


# ---- shutdown


@async_test
async def test_shutdown_accepts_waiting_connection_and_completes_requests(
    configuration_file: ConfigurationFile,
) -> None:
    responses_released, both_arrived = asyncio.Event(), asyncio.Event()
    arrived: list[ReceivedRequest] = []

    async def respond_when_released(received: ReceivedRequest) -> bytes:
        arrived.append(received)
        if len(arrived) == 2:
            both_arrived.set()
        await responses_released.wait()
        return ok_response(b"done")

    async with run_endpoint(respond_when_released) as endpoint:
        configuration_file.write(endpoint.address)
        listen_address = configuration_file.listen_address
        process = await start_process(configuration_file.path)
        before_signal = await connect(listen_address)
        assert (await before_signal.exchange(READINESS_REQUEST))[0] == 200
        before_signal.writer.write(request_bytes("post"))
        await endpoint.request_arrived.wait()
        # Stopped, the process has both the signal and the connection waiting, in either order.
        process.send_signal(signal.SIGSTOP)
        process.send_signal(signal.SIGTERM)
        after_signal = Client(*await asyncio.open_connection(*split_address(listen_address)))
        process.send_signal(signal.SIGCONT)
        after_signal.writer.write(request_bytes("post"))
        await both_arrived.wait()
        await wait_until_refused(listen_address)
        responses_released.set()
        for client in (before_signal, after_signal):
            status, _, body = await client.read_response()
            assert (status, body) == (200, b"done")
            assert await client.is_closed()
        assert await process.wait() == 0


@async_test
async def test_shutdown_serves_open_connections_and_answers_all_in_time(
    configuration_file: ConfigurationFile,
) -> None:
    both_arrived = asyncio.Event()
    unanswered: list[ReceivedRequest] = []

    async def never_answer_stuck(received: ReceivedRequest) -> bytes:
        if received.body == b"stuck":
            unanswered.append(received)
            if len(unanswered) == 2:
                both_arrived.set()
            await asyncio.Event().wait()
        return ok_response(b"done")

    async with run_endpoint(never_answer_stuck) as endpoint:
        configuration_file.write(endpoint.address)
        listen_address = configuration_file.listen_address
        process = await start_process(configuration_file.path)
        open_client, before_signal, after_signal = [await connect(listen_address) for _ in range(3)]
        for client in (open_client, before_signal, after_signal):
            assert (await client.exchange(request_bytes("post")))[0] == 200
        before_signal.writer.write(request_bytes("post", body=b"stuck"))
        signalled_at_seconds = asyncio.get_running_loop().time()
        process.send_signal(signal.SIGTERM)
        await wait_until_refused(listen_address)
        assert (await open_client.exchange(request_bytes("post")))[0] == 200
        after_signal.writer.write(request_bytes("post", body=b"stuck"))
        await both_arrived.wait()
        for client in (before_signal, after_signal):
            assert (await client.read_response())[0] == 504
        # Their deadlines are 9 s away; a shutdown leaves them 3.7 s.
        assert asyncio.get_running_loop().time() - signalled_at_seconds < 6
        assert await process.wait() == 0


@async_test
async def test_shutdown_ignores_further_signals_and_takes_rest_of_request(
    configuration_file: ConfigurationFile,
) -> None:
    async def echo(received: ReceivedRequest) -> bytes:
        return ok_response(received.body)

    async with run_endpoint(echo) as endpoint:
        configuration_file.write(endpoint.address)
        listen_address = configuration_file.listen_address
        process = await start_process(configuration_file.path, stderr=asyncio.subprocess.PIPE)
        open_client, sending_client = [await connect(listen_address) for _ in range(2)]
        assert (await open_client.exchange(request_bytes("post", body=b"first")))[2] == b"first"
        raw = request_bytes("post", body=b"x" * 3000)
        sending_client.writer.write(raw[:-2000])
        await sending_client.writer.drain()
        process.send_signal(signal.SIGTERM)
        await wait_until_refused(listen_address)
        configuration_file.write_text("{")
        assert process.stderr is not None
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            process.send_signal(number)
        assert KEPT_CONFIGURATION_LINE in await process.stderr.readline()
        sending_client.writer.write(raw[-2000:])
        assert (await sending_client.read_response())[2] == b"x" * 3000
        assert (await open_client.exchange(request_bytes("post", body=b"last")))[2] == b"last"
        for client in (open_client, sending_client):
            client.writer.close()
        assert await process.wait() == 0
        assert await process.stderr.read() == b""
        assert len(endpoint.received_requests) == 3


# ---- configuration


async def send_hang_ups_until_exit(process: asyncio.subprocess.Process) -> int:
    """Send SIGHUP in any of the steps of a shutdown, and return the exit status."""
    exiting = asyncio.ensure_future(process.wait())
    while not exiting.done():
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0)
    return await exiting


@async_test
async def test_reload_is_repeated_until_the_file_can_be_read(configuration_file: ConfigurationFile) -> None:
    async def answer_snapshot(_received: ReceivedRequest) -> bytes:
        return ok_response(json.dumps({"seq": 1, "whole": True, "hosts": []}).encode())

    async with run_endpoint(answer_snapshot) as new_discovery:
        configuration_file.write("127.0.0.1:9", discovery=unreachable_address())
        process = await start_process(configuration_file.path, stderr=asyncio.subprocess.PIPE)
        client = await connect(configuration_file.listen_address)
        configuration_file.path.unlink()
        process.send_signal(signal.SIGHUP)
        assert process.stderr is not None
        assert KEPT_CONFIGURATION_LINE in await process.stderr.readline()
        configuration_file.write("127.0.0.1:9", discovery=new_discovery.address)
        await new_discovery.request_arrived.wait()
        client.writer.close()
        process.terminate()
        assert await process.wait() == 0


@async_test
async def test_reload_rejects_invalid_file_and_moves_to_new_discovery_address(
    configuration_file: ConfigurationFile,
) -> None:
    async def answer_snapshot_only(received: ReceivedRequest) -> bytes:
        if b"from=" in received.request_line:
            await asyncio.Event().wait()
        return ok_response(json.dumps({"seq": 1, "whole": True, "hosts": []}).encode())

    invalid_texts = ("{", json.dumps({"settings": 7}), json.dumps(configuration(discovery="nowhere")))
    async with (
        run_endpoint(answer_snapshot_only) as old_discovery,
        run_endpoint(answer_snapshot_only) as new_discovery,
    ):
        configuration_file.write("127.0.0.1:9", discovery=old_discovery.address)
        process = await start_process(configuration_file.path, stderr=asyncio.subprocess.PIPE)
        client = await connect(configuration_file.listen_address)  # from here on it handles signals
        await old_discovery.request_arrived.wait()
        assert process.stderr is not None
        for text in invalid_texts:
            configuration_file.write_text(text)
            process.send_signal(signal.SIGHUP)
            assert KEPT_CONFIGURATION_LINE in await process.stderr.readline()
        assert new_discovery.received_requests == []
        assert old_discovery.received_requests[0].request_line.startswith(b"GET /discovery/hosts?from=1&")
        configuration_file.write("127.0.0.1:9", discovery=new_discovery.address)
        process.send_signal(signal.SIGHUP)
        await new_discovery.request_arrived.wait()
        assert new_discovery.received_requests[0].request_line == b"GET /discovery/hosts HTTP/1.1"
        process.send_signal(signal.SIGTERM)
        assert await client.is_closed()  # the shutdown has begun
        assert await send_hang_ups_until_exit(process) == 0
        assert await process.stderr.read() == b""


def run_to_error(environment: dict[str, str]) -> str:
    """Run the program, check that it fails with one plain line, and return that line."""
    inherited = {name: value for name, value in os.environ.items() if not name.startswith("PROXY_")}
    completed = subprocess.run(
        COMMAND,
        env=inherited | environment,
        cwd=REPOSITORY_ROOT,
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )
    assert completed.returncode != 0
    assert completed.stdout == ""
    assert completed.stderr.count("\n") == 1
    assert completed.stderr.startswith("balancer: ")
    return completed.stderr


@pytest.mark.parametrize(
    ("change", "expected_text"),
    [
        ({"listen": "here"}, "listen"),
        ({"discovery": None}, "discovery"),
        ({"settings": {}}, "Categories"),
        ({"settings": None}, "settings"),
        ({"seed": "xyz"}, "seed"),
        ({"peers": 3}, "peers"),
        ({"known": {"seq": "1", "hosts": []}}, "known"),
        ({"settings": SETTINGS | {"Orgs": [7]}}, "makes no sense"),
    ],
)
def test_invalid_configuration_is_reported_in_one_line(
    tmp_path: Path, change: dict[str, Any], expected_text: str
) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(configuration("127.0.0.1:9") | change))
    assert expected_text in run_to_error({"PROXY_CONFIG": str(path)})


def test_missing_or_malformed_file_is_reported_in_one_line(tmp_path: Path) -> None:
    malformed = tmp_path / "config.json"
    malformed.write_text("{")
    assert "PROXY_CONFIG is not set" in run_to_error({})
    assert "No such file" in run_to_error({"PROXY_CONFIG": str(tmp_path / "none")})
    assert "not JSON" in run_to_error({"PROXY_CONFIG": str(malformed)})


# ---- start


@async_test
async def test_sidecar_with_known_endpoints_is_ready_at_once_without_discovery(
    configuration_file: ConfigurationFile,
) -> None:
    configuration_file.write(unreachable_address())
    process = await start_process(configuration_file.path)
    client = await connect(configuration_file.listen_address)
    assert (await client.exchange(READINESS_REQUEST))[0] == 200
    assert (await client.exchange(request_bytes("post")))[0] == 503  # nothing listens at its only address
    client.writer.close()
    process.terminate()
    assert await process.wait() == 0


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGTERM])
@async_test
async def test_restart_listens_at_same_address_despite_old_connections(
    configuration_file: ConfigurationFile, number: signal.Signals
) -> None:
    async with run_endpoint(answer_ok) as endpoint:
        configuration_file.write(endpoint.address)
        listen_address = configuration_file.listen_address
        open_clients = []
        for _ in range(3):
            process = await start_process(configuration_file.path)
            idle, last = await connect(listen_address), await connect(listen_address)
            open_clients += [last] if number == signal.SIGTERM else [idle, last]
            assert (await idle.exchange(request_bytes()))[0] == 200
            assert (await last.exchange(request_bytes(extra_headers=CLOSE_HEADER)))[0] == 200
            assert await last.is_closed()
            if number == signal.SIGTERM:
                idle.writer.close()
            process.send_signal(number)
            await process.wait()


# ---- few descriptors


def open_descriptors(process: asyncio.subprocess.Process) -> set[int]:
    """Return the file descriptors that a process has open."""
    return {int(path.name) for path in Path(f"/proc/{process.pid}/fd").iterdir()}


def limit_descriptors(max_descriptors: int) -> Callable[[], None]:
    """Return a function that limits the descriptors of the process in which it is called."""
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    return lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (max_descriptors, hard_limit))


class DiscoveryServer(ScriptedEndpoint):
    """Discovery at a given address, which has one snapshot and no further update."""

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
    """Run discovery at this address, with these endpoints."""
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
    """Run a sidecar that knows no endpoint, with more clients than it may have descriptors.

    Discovery is down, and most clients send no whole request.
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
async def test_flood_of_clients_blocks_neither_discovery_nor_endpoints_nor_other_clients(
    configuration_file: ConfigurationFile,
) -> None:
    listen_address, discovery_address = configuration_file.listen_address, unreachable_address()

    async def status_once_listed() -> int | None:
        """Return the status of a request; None while the endpoint list is on its way."""
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
async def test_sidecar_without_endpoints_and_discovery_gets_ready_under_flood(
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


FAILING_START = """
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
"""A program in which the first three calls for a listening socket fail."""


@pytest.mark.parametrize("number", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM])
@async_test
async def test_start_waits_until_there_is_a_socket_to_listen_with(
    configuration_file: ConfigurationFile, number: int
) -> None:
    async with run_endpoint(answer_ok) as endpoint:
        configuration_file.write(endpoint.address)
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-c", FAILING_START, str(number)),
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
async def test_without_free_descriptors_new_connections_wait_and_are_answered_once_there_are(
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
        clients = [await connect(listen_address) for _ in range(40)]  # a few find a descriptor
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


# ---- metrics


@async_test
async def test_sigusr1_writes_the_counters_to_the_log(configuration_file: ConfigurationFile) -> None:
    async with run_endpoint(answer_ok) as endpoint:
        configuration_file.write(endpoint.address)
        process = await start_process(configuration_file.path, stderr=asyncio.subprocess.PIPE)
        client = await connect(configuration_file.listen_address)
        assert (await client.exchange(request_bytes()))[0] == 200
        process.send_signal(signal.SIGUSR1)
        assert process.stderr is not None
        _, _, counters = (await process.stderr.readline()).partition(b"metrics ")
        assert json.loads(counters)["requests"] == 1
        assert json.loads(counters)["responses"] == {"served": 1}
        client.writer.close()
        process.terminate()
        assert await process.wait() == 0
