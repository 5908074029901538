"""Tests of the graceful shutdown of the program: requests in flight, open connections, further signals."""

from __future__ import annotations

import asyncio
import signal

from tests.sidecar.client import Client
from tests.sidecar.downstream.harness import READINESS_REQUEST
from tests.sidecar.event_loop import async_test
from tests.sidecar.messages import ok_response, request_bytes
from tests.sidecar.process.log_lines import RELOAD_FAILED
from tests.sidecar.process_harness import (
    ConfigurationFile,
    connect,
    split_address,
    start_process,
    wait_until_refused,
)
from tests.sidecar.scripted_endpoint import ReceivedRequest, run_endpoint


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
        # When the stopped process continues, a signal and a connection are pending; either may come first.
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
            assert await client.is_closed_without_data()
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
        # The deadlines of the requests are 9 s away, but during a shutdown all are answered within 3.7 s.
        assert asyncio.get_running_loop().time() - signalled_at_seconds < 6
        assert await process.wait() == 0


@async_test
async def test_shutdown_ignores_further_signals_and_receives_rest_of_request(
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
        for signal_number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            process.send_signal(signal_number)
        assert RELOAD_FAILED in await process.stderr.readline()
        sending_client.writer.write(raw[-2000:])
        assert (await sending_client.read_response())[2] == b"x" * 3000
        assert (await open_client.exchange(request_bytes("post", body=b"last")))[2] == b"last"
        for client in (open_client, sending_client):
            client.writer.close()
        assert await process.wait() == 0
        assert await process.stderr.read() == b""
        assert len(endpoint.received_requests) == 3
