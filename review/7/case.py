"""One answer in ten is spoilt: it comes in small pieces and never ends. The platform's memory limit is watched."""

import asyncio
import os
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stands2"))

from stands import AccountServer, Deployment, Record, Request, Sent, answer, lost, main  # noqa: E402

MEMORY_MB = 80
REQUESTS = 300
INTERVAL_SECONDS = 1 / 30
SPOILT_EVERY = 10
WORK_SECONDS = 0.1
PIECE = b"4\r\nxxxx\r\n"
PIECES_A_WRITE = 1000
WRITES = 180
"""180,000 pieces of four bytes, 720 kB in all; then a further piece comes ten times a second, without an end."""

# The shares of the site's page: 41%, 35% and 24%.
KINDS = ["consulta"] * 8 + ["cambio-plan"] * 7 + ["factura"] * 5
TIMEOUTS = {"consulta": 2.5, "cambio-plan": 1.0, "factura": 5.0}


async def case(record: Record, trouble: bool) -> str | None:
    served = 0

    async def serve(_server: AccountServer, request: Request, writer: asyncio.StreamWriter) -> None:
        nonlocal served
        served += 1
        is_spoilt = trouble and served % SPOILT_EVERY == 0
        await asyncio.sleep(WORK_SECONDS)
        if not is_spoilt:
            writer.write(answer(f"served {request.id}".encode()))
            return
        record.write(f"spoilt answer to {request.id} begins")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for _ in range(WRITES):
            writer.write(PIECE * PIECES_A_WRITE)
            await writer.drain()
            await asyncio.sleep(0.002)
        while True:
            writer.write(PIECE)
            await writer.drain()
            await asyncio.sleep(0.1)

    async def one(deployment: Deployment, number: int) -> Sent:
        kind = KINDS[number * 7 % len(KINDS)]
        client = await deployment.connect(f"c{number}")
        [sent] = client.send((f"r{number}", kind, TIMEOUTS[kind]))
        while sent.answered_at is None and not client.end and record.now() < sent.sent_at + sent.timeout + 1:
            await asyncio.sleep(0.02)
        client.close()
        return sent

    async with Deployment(record, servers=8, serve=serve, memory_mb=MEMORY_MB) as deployment:
        sidecar = deployment.sidecar
        record.write(f"the sidecar uses {sidecar.memory_mb():.0f} of {MEMORY_MB} MB")
        tasks: list[asyncio.Task[Sent]] = []
        most = 0.0
        killed = ""
        for number in range(REQUESTS):
            tasks.append(asyncio.create_task(one(deployment, number)))
            await asyncio.sleep(INTERVAL_SECONDS)
            if not sidecar.is_running():
                return f"the sidecar ended by itself with status {sidecar.process.returncode}"
            used = sidecar.memory_mb()
            most = max(most, used)
            if number % 15 == 0:
                record.write(f"the sidecar uses {used:.0f} of {MEMORY_MB} MB")
            if used > MEMORY_MB:
                # What the platform does: over `memory_mb` the sidecar is killed.
                killed = f"{used:.0f} of {MEMORY_MB} MB in use {record.now():.1f} s after the start"
                record.write(f"the platform kills the sidecar: {killed}")
                os.kill(sidecar.pid, signal.SIGKILL)
                break
        requests = [await task for task in tasks]
        record.write(f"the sidecar used up to {most:.0f} of {MEMORY_MB} MB")
        missing = lost(requests)
        if killed:
            return f"killed for memory: {killed}; {len(missing)} requests were lost with it"
        if missing:
            return f"{len(missing)} requests got no final answer: {[sent.id for sent in missing][:8]}"
        return None


main(FOLDER, case)
