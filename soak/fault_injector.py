"""Injects the planned faults into the running fleet."""

from __future__ import annotations

import asyncio
import errno
import signal
from collections.abc import Awaitable, Callable
from random import Random

from soak.account_server import AccountServer, ServerFault
from soak.client_load import MALFORMED_BEHAVIOURS, Behaviour, usual_profile
from soak.discovery_agent import Health
from soak.fault_plan import FaultKind, PlannedFault, wall_clock_step_seconds
from soak.fault_proxy import ProxyMode
from soak.fleet import Fleet, Member
from soak.history import InjectedFault
from soak.syscall_faults import FaultyCall

MAX_PAUSE_SECONDS = 0.15
"""The longest time that a sidecar may be held up."""
MIN_TRANSFER_BYTES = 200
"""Of short reads and writes: with one byte each, a request of 20 KB takes longer than deadlines allow."""
RESTART_DELAY_SECONDS = 0.3
DRAIN_SECONDS = 2.0
READY_TIMEOUT_SECONDS = 10.0
KILL_MARGIN_SECONDS = 0.7
SHORTAGE_STRENGTH = 0.6
"""Of a restart: beyond it the new process finds no socket at first."""
MAX_FAILED_STARTS = 4
UNREADABLE_STRENGTH = 0.6
"""Of a reload: beyond it the configuration cannot be read at first."""
MAX_AWAITED_TIMEOUT_SECONDS = 3.0

ACCEPT_ERRORS = (errno.ECONNABORTED, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EPROTO)
SOCKET_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
CONNECT_ERRORS = (
    errno.EADDRNOTAVAIL,
    errno.ENETUNREACH,
    errno.EHOSTUNREACH,
    errno.ETIMEDOUT,
    errno.ECONNREFUSED,
    errno.EAGAIN,
)

Injection = Callable[[PlannedFault], Awaitable[str]]
"""Injects a fault, waits for its end and returns what it hit."""


class FaultInjector:
    """Runs each planned fault as a task of its own."""

    def __init__(self, fleet: Fleet, random: Random) -> None:
        self._fleet = fleet
        self._random = random
        self._injections: dict[FaultKind, Injection] = {
            FaultKind.STOP_SIDECAR: self._stop_sidecar,
            FaultKind.KILL_SIDECAR: self._kill_sidecar,
            FaultKind.RELOAD_SIDECAR: self._reload_sidecar,
            FaultKind.RELOAD_BROKEN: self._reload_broken,
            FaultKind.PAUSE_SIDECAR: self._pause_sidecar,
            FaultKind.STEP_WALL_CLOCK: self._step_wall_clock,
            FaultKind.ACCEPT_FAILS: self._fail_accept,
            FaultKind.SOCKET_FAILS: self._fail_socket,
            FaultKind.CONNECT_FAILS: self._fail_connect,
            FaultKind.SHORT_TRANSFERS: self._shorten_transfers,
            FaultKind.INTERRUPTED_CALLS: self._interrupt_calls,
            FaultKind.SERVER_MISBEHAVES: self._let_server_misbehave,
            FaultKind.SECOND_ANSWERS: self._send_second_answers,
            FaultKind.SERVER_RESTARTS: self._restart_server,
            FaultKind.SERVER_DRAINS: self._drain_server,
            FaultKind.NETWORK_SILENT: self._silence_network,
            FaultKind.NETWORK_SLOW: self._slow_network,
            FaultKind.NETWORK_RESETS: self._reset_network,
            FaultKind.NETWORK_LATE: self._delay_connections,
            FaultKind.WATCHES_SILENT: self._silence_watches,
            FaultKind.DISCOVERY_RESETS: self._reset_discovery,
            FaultKind.DISCOVERY_DOWN: self._take_discovery_down,
            FaultKind.CLIENTS_LEAVE: self._let_clients_leave,
            FaultKind.CLIENTS_MISBEHAVE: self._let_clients_misbehave,
            FaultKind.CLIENTS_PIPELINE: self._let_clients_pipeline,
        }

    async def run(self, plan: list[PlannedFault]) -> None:
        """Inject all faults at their times, and return once the last has ended."""
        async with asyncio.TaskGroup() as group:
            for fault in plan:
                group.create_task(self._run_fault(fault))

    async def _run_fault(self, fault: PlannedFault) -> None:
        clock = self._fleet.clock
        await asyncio.sleep(max(0.0, fault.starts_at - clock.now()))
        injected = InjectedFault(fault.kind.value, "", clock.now(), float("inf"))
        self._fleet.history.faults.append(injected)
        injected.target = await self._injections[fault.kind](fault)
        injected.ended_at = clock.now()

    # ---- targets

    def _member(self, fault: PlannedFault) -> Member:
        members = self._fleet.members
        return members[int(fault.choice * len(members)) % len(members)]

    def _server(self, fault: PlannedFault) -> AccountServer:
        servers = self._fleet.servers
        return servers[int(fault.choice * len(servers)) % len(servers)]

    # ---- processes

    async def _stop_sidecar(self, fault: PlannedFault) -> str:
        """End a process with SIGTERM, and with SIGKILL when that may come; then start the next."""
        member = self._member(fault)
        if not member.sidecar.is_serving:
            return f"{member.sidecar.name}, which did not serve"
        member.sidecar.send_signal(signal.SIGTERM)
        longest = min(MAX_AWAITED_TIMEOUT_SECONDS, self._fleet.deployment.longest_timeout_seconds)
        if not await member.sidecar.wait_until_ended(longest + KILL_MARGIN_SECONDS):
            member.sidecar.send_signal(signal.SIGKILL)
            await member.sidecar.wait_until_ended(READY_TIMEOUT_SECONDS)
        await self._start_again(member, is_short=fault.strength > SHORTAGE_STRENGTH)
        return member.sidecar.name

    async def _kill_sidecar(self, fault: PlannedFault) -> str:
        member = self._member(fault)
        if not member.sidecar.is_serving:
            return f"{member.sidecar.name}, which did not serve"
        member.sidecar.send_signal(signal.SIGKILL)
        await member.sidecar.wait_until_ended(READY_TIMEOUT_SECONDS)
        await self._start_again(member, is_short=fault.strength > SHORTAGE_STRENGTH)
        return member.sidecar.name

    async def _start_again(self, member: Member, is_short: bool) -> None:
        await asyncio.sleep(RESTART_DELAY_SECONDS * self._random.random())
        if is_short:
            member.sidecar.faults.fail(
                FaultyCall.SOCKET, self._random.choice(SOCKET_ERRORS), MAX_FAILED_STARTS
            )
        await member.sidecar.start()
        await member.sidecar.wait_until_ready(READY_TIMEOUT_SECONDS)

    async def _reload_sidecar(self, fault: PlannedFault) -> str:
        sidecar = self._member(fault).sidecar
        if not sidecar.is_serving or sidecar.agent.is_down:
            return f"{sidecar.name}, which did not serve or had no discovery"
        await sidecar.agent.move()
        sidecar.write_configuration()
        if fault.strength > UNREADABLE_STRENGTH:
            sidecar.faults.fail(FaultyCall.OPEN_CONFIGURATION, errno.EIO, 1)
        for _ in range(1 + int(2 * fault.strength)):
            sidecar.send_signal(signal.SIGHUP)
        await asyncio.sleep(fault.seconds)
        sidecar.faults.fail(FaultyCall.OPEN_CONFIGURATION, 0, 0)
        return sidecar.name

    async def _reload_broken(self, fault: PlannedFault) -> str:
        sidecar = self._member(fault).sidecar
        if not sidecar.is_serving:
            return f"{sidecar.name}, which did not serve"
        sidecar.faults.fail(FaultyCall.OPEN_CONFIGURATION, errno.EIO, 1)
        sidecar.send_signal(signal.SIGHUP)
        await asyncio.sleep(fault.seconds)
        sidecar.faults.fail(FaultyCall.OPEN_CONFIGURATION, 0, 0)
        return sidecar.name

    async def _pause_sidecar(self, fault: PlannedFault) -> str:
        sidecar = self._member(fault).sidecar
        sidecar.send_signal(signal.SIGSTOP)
        await asyncio.sleep(MAX_PAUSE_SECONDS * fault.strength)
        sidecar.send_signal(signal.SIGCONT)
        return sidecar.name

    async def _step_wall_clock(self, fault: PlannedFault) -> str:
        step_seconds = wall_clock_step_seconds(fault.strength)
        self._fleet.clock.wall_clock_offset_ns += int(step_seconds * 1_000_000_000)
        for member in self._fleet.members:
            member.sidecar.faults.step_wall_clock(self._fleet.clock.wall_clock_offset_ns)
        return f"all, by {step_seconds:+.0f} s"

    # ---- system calls

    async def _fail_accept(self, fault: PlannedFault) -> str:
        return await self._fail_calls(fault, FaultyCall.ACCEPT, ACCEPT_ERRORS)

    async def _fail_socket(self, fault: PlannedFault) -> str:
        return await self._fail_calls(fault, FaultyCall.SOCKET, SOCKET_ERRORS)

    async def _fail_connect(self, fault: PlannedFault) -> str:
        return await self._fail_calls(fault, FaultyCall.CONNECT, CONNECT_ERRORS)

    async def _fail_calls(self, fault: PlannedFault, call: FaultyCall, errors: tuple[int, ...]) -> str:
        sidecar = self._member(fault).sidecar
        error = self._random.choice(errors)
        sidecar.faults.fail(call, error, 1 + int(20 * fault.strength**2))
        await asyncio.sleep(fault.seconds)
        sidecar.faults.fail(call, 0, 0)
        return f"{sidecar.name}, {errno.errorcode[error]}"

    async def _shorten_transfers(self, fault: PlannedFault) -> str:
        sidecar = self._member(fault).sidecar
        sidecar.faults.limit_transfers(
            max_read_bytes=MIN_TRANSFER_BYTES + int(1000 * fault.strength),
            max_write_bytes=MIN_TRANSFER_BYTES + int(1000 * self._random.random()),
        )
        await asyncio.sleep(fault.seconds)
        sidecar.faults.limit_transfers()
        return sidecar.name

    async def _interrupt_calls(self, fault: PlannedFault) -> str:
        sidecar = self._member(fault).sidecar
        sidecar.faults.interrupt_every(2 + int(5 * fault.strength))
        await asyncio.sleep(fault.seconds)
        sidecar.faults.interrupt_every(0)
        return sidecar.name

    # ---- account servers and the network

    async def _let_server_misbehave(self, fault: PlannedFault) -> str:
        server = self._server(fault)
        kinds = [kind for kind in ServerFault if kind != ServerFault.NONE]
        server.fault = kinds[int(fault.strength * len(kinds)) % len(kinds)]
        name = f"{server.identity.name} {server.fault.value}"
        await asyncio.sleep(fault.seconds)
        server.fault = ServerFault.NONE
        server.note_fault_over()
        return name

    async def _send_second_answers(self, fault: PlannedFault) -> str:
        servers = [server for server in self._fleet.servers if server.fault == ServerFault.NONE]
        for server in servers:
            server.fault = ServerFault.SECOND_ANSWER
        await asyncio.sleep(fault.seconds)
        for server in servers:
            if server.fault == ServerFault.SECOND_ANSWER:
                server.fault = ServerFault.NONE
                server.note_fault_over()
        return f"{len(servers)} servers"

    async def _restart_server(self, fault: PlannedFault) -> str:
        server = self._server(fault)
        if not server.is_running:
            return f"{server.identity.name}, which did not run"
        server.stop()
        await asyncio.sleep(fault.seconds)
        await server.start(is_cold=True)
        self._fleet.directory.set_health(server, Health.UP)
        return server.identity.name

    async def _drain_server(self, fault: PlannedFault) -> str:
        server = self._server(fault)
        if not server.is_running:
            return f"{server.identity.name}, which did not run"
        self._fleet.servers.remove(server)
        self._fleet.directory.set_health(server, Health.DRAINING)
        await asyncio.sleep(DRAIN_SECONDS * fault.strength)
        self._fleet.directory.set_health(server, Health.REMOVED)
        await self._fleet.add_server(like=server)
        return f"{server.identity.name}, which answers on"

    async def _silence_network(self, fault: PlannedFault) -> str:
        return await self._change_network(fault, ProxyMode(is_black_hole=True))

    async def _slow_network(self, fault: PlannedFault) -> str:
        mode = ProxyMode(
            delay_seconds=0.05 * fault.strength, piece_bytes=1 + int(2000 * self._random.random())
        )
        return await self._change_network(fault, mode)

    async def _reset_network(self, fault: PlannedFault) -> str:
        server = self._server(fault)
        server.proxy.reset_all()
        return await self._change_network(fault, ProxyMode(reset_probability=0.3 * fault.strength))

    async def _delay_connections(self, fault: PlannedFault) -> str:
        return await self._change_network(fault, ProxyMode(accept_delay_seconds=fault.strength))

    async def _change_network(self, fault: PlannedFault, mode: ProxyMode) -> str:
        server = self._server(fault)
        server.proxy.set_mode(mode)
        await asyncio.sleep(fault.seconds)
        server.proxy.set_mode(ProxyMode())
        server.note_fault_over()
        return server.identity.name

    # ---- discovery

    async def _silence_watches(self, fault: PlannedFault) -> str:
        member = self._member(fault)
        member.sidecar.agent.silence()
        await asyncio.sleep(fault.seconds)
        return member.sidecar.name

    async def _reset_discovery(self, fault: PlannedFault) -> str:
        member = self._member(fault)
        member.sidecar.agent.reset_connections()
        return member.sidecar.name

    async def _take_discovery_down(self, fault: PlannedFault) -> str:
        agents = [member.sidecar.agent for member in self._fleet.members]
        if fault.strength < 0.5:
            agents = [self._member(fault).sidecar.agent]
        for agent in agents:
            agent.go_down()
        await asyncio.sleep(fault.seconds)
        for agent in agents:
            await agent.come_back()
        return "all" if len(agents) > 1 else agents[0].sidecar

    # ---- clients

    async def _let_clients_leave(self, fault: PlannedFault) -> str:
        member = self._member(fault)
        member.load.leave_all()
        return member.sidecar.name

    async def _let_clients_misbehave(self, fault: PlannedFault) -> str:
        member = self._member(fault)
        weights = usual_profile().weights
        for behaviour in (*MALFORMED_BEHAVIOURS, Behaviour.LEAVES, Behaviour.RESETS):
            weights[behaviour] = 15.0 * fault.strength
        return await self._change_clients(member, weights, fault.seconds)

    async def _let_clients_pipeline(self, fault: PlannedFault) -> str:
        weights = usual_profile().weights | {Behaviour.PIPELINES: 20.0 * fault.strength}
        return await self._change_clients(self._member(fault), weights, fault.seconds)

    async def _change_clients(self, member: Member, weights: dict[Behaviour, float], seconds: float) -> str:
        member.load.profile.weights = weights
        await asyncio.sleep(seconds)
        member.load.profile.weights = usual_profile().weights
        return member.sidecar.name
