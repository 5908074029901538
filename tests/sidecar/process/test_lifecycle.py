"""Tests of the program in a separate process: start, restart, log lines, and the metrics in its log."""

from __future__ import annotations

import asyncio
import json
import re
import signal

import pytest

from tests.sidecar.configuration_documents import endpoint_entry, endpoint_list
from tests.sidecar.downstream.harness import CLOSE_HEADER, READINESS_REQUEST
from tests.sidecar.event_loop import async_test
from tests.sidecar.messages import ok_response, request_bytes
from tests.sidecar.process_harness import ConfigurationFile, connect, split_address, start_process
from tests.sidecar.scripted_endpoint import (
    ReceivedRequest,
    answer_ok,
    never_answer,
    run_endpoint,
    unreachable_address,
)


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


async def is_accepting(listen_address: str) -> bool:
    """Return whether anything listens at this address."""
    try:
        _, writer = await asyncio.open_connection(*split_address(listen_address))
    except ConnectionError:
        return False
    writer.close()
    return True


@async_test
async def test_new_process_accepts_no_client_before_it_knows_what_the_agent_knows(
    configuration_file: ConfigurationFile,
) -> None:
    # Guards against: a new process sends requests to a draining endpoint of its old cached list.
    draining = endpoint_list(2, endpoint_entry("s-0", "127.0.0.1:9", "draining"), is_snapshot=False)
    was_accepting: list[bool] = []

    async def respond_to_first_call(request: ReceivedRequest) -> bytes:
        if was_accepting:
            return await never_answer(request)
        was_accepting.append(await is_accepting(configuration_file.listen_address))
        return ok_response(json.dumps(draining).encode())

    async with run_endpoint(respond_to_first_call) as discovery:
        configuration_file.write("127.0.0.1:9", discovery=discovery.address)
        process = await start_process(configuration_file.path)
        client = await connect(configuration_file.listen_address)
        assert was_accepting == [False]
        assert b"from=1&hold_ms=0 " in discovery.received_requests[0].request_line
        client.writer.close()
        process.terminate()
        assert await process.wait() == 0


@pytest.mark.parametrize("signal_number", [signal.SIGKILL, signal.SIGTERM])
@async_test
async def test_restart_listens_at_same_address_despite_old_connections(
    configuration_file: ConfigurationFile, signal_number: signal.Signals
) -> None:
    async with run_endpoint(answer_ok) as endpoint:
        configuration_file.write(endpoint.address)
        listen_address = configuration_file.listen_address
        open_clients = []
        for _ in range(3):
            process = await start_process(configuration_file.path)
            idle, last = await connect(listen_address), await connect(listen_address)
            open_clients += [last] if signal_number == signal.SIGTERM else [idle, last]
            assert (await idle.exchange(request_bytes()))[0] == 200
            assert (await last.exchange(request_bytes(extra_headers=CLOSE_HEADER)))[0] == 200
            assert await last.is_closed_without_data()
            if signal_number == signal.SIGTERM:
                idle.writer.close()
            process.send_signal(signal_number)
            await process.wait()


@async_test
async def test_start_reload_and_shutdown_are_logged_in_one_form(
    configuration_file: ConfigurationFile, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("PROXY_LOG_LEVEL", "INFO")
    discovery_address = unreachable_address()
    configuration_file.write("127.0.0.1:9", discovery=discovery_address)
    process = await start_process(configuration_file.path, stderr=asyncio.subprocess.PIPE)
    client = await connect(configuration_file.listen_address)
    assert process.stderr is not None
    lines = [await process.stderr.readline()]
    process.send_signal(signal.SIGHUP)
    lines.append(await process.stderr.readline())
    client.writer.close()
    process.terminate()
    assert await process.wait() == 0
    lines += (await process.stderr.read()).splitlines(keepends=True)
    listen_address = configuration_file.listen_address
    assert lines[0].decode() == (f"INFO balancer.sidecar.process.lifecycle: ready address={listen_address}\n")
    assert lines[1].decode() == (
        "INFO balancer.sidecar.process.configuration_reloader: "
        f"configuration_reloaded discovery={discovery_address}\n"
    )
    assert re.fullmatch(
        rb"INFO balancer\.sidecar\.process\.lifecycle: "
        rb"shutdown_started connections=[01] requests_in_flight=0\n",
        lines[2],
    )
    assert lines[3].startswith(b"INFO balancer.sidecar.process.lifecycle: metrics {")
    assert len(lines) == 4


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
