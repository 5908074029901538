"""Tests of reloads of the configuration on SIGHUP: unreadable and invalid files, new discovery address."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal

from tests.sidecar.configuration_documents import configuration
from tests.sidecar.event_loop import async_test
from tests.sidecar.messages import ok_response
from tests.sidecar.process.log_lines import RELOAD_FAILED
from tests.sidecar.process_harness import ConfigurationFile, connect, start_process
from tests.sidecar.scripted_endpoint import ReceivedRequest, run_endpoint, unreachable_address


async def send_sighup_until_exit(process: asyncio.subprocess.Process) -> int:
    """Send SIGHUP throughout all phases of a shutdown, and return the exit status."""
    exiting = asyncio.ensure_future(process.wait())
    while not exiting.done():
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0)
    return await exiting


@async_test
async def test_reload_is_retried_until_the_file_can_be_read(configuration_file: ConfigurationFile) -> None:
    async def answer_snapshot(_received: ReceivedRequest) -> bytes:
        return ok_response(json.dumps({"seq": 1, "whole": True, "hosts": []}).encode())

    async with run_endpoint(answer_snapshot) as new_discovery:
        configuration_file.write("127.0.0.1:9", discovery=unreachable_address())
        process = await start_process(configuration_file.path, stderr=asyncio.subprocess.PIPE)
        client = await connect(configuration_file.listen_address)
        configuration_file.path.unlink()
        process.send_signal(signal.SIGHUP)
        assert process.stderr is not None
        assert RELOAD_FAILED in await process.stderr.readline()
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
        # The program handles signals once it accepts connections.
        client = await connect(configuration_file.listen_address)
        await old_discovery.request_arrived.wait()
        assert process.stderr is not None
        for text in invalid_texts:
            configuration_file.write_text(text)
            process.send_signal(signal.SIGHUP)
            assert RELOAD_FAILED in await process.stderr.readline()
        assert new_discovery.received_requests == []
        assert old_discovery.received_requests[0].request_line.startswith(b"GET /discovery/hosts?from=1&")
        configuration_file.write("127.0.0.1:9", discovery=new_discovery.address)
        process.send_signal(signal.SIGHUP)
        await new_discovery.request_arrived.wait()
        assert new_discovery.received_requests[0].request_line == b"GET /discovery/hosts HTTP/1.1"
        process.send_signal(signal.SIGTERM)
        assert await client.is_closed_without_data()  # the shutdown has begun
        assert await send_sighup_until_exit(process) == 0
        assert await process.stderr.read() == b""
