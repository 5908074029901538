"""Faults of the sidecar processes: signals, unreadable configurations and steps of the wall clock."""

from __future__ import annotations

import asyncio
import errno
import signal
from random import Random

from soak.fault_injection.system_call_faults import SOCKET_ERRORS
from soak.fault_injection.targets import InjectionsByKind, choose_member
from soak.fault_plan import FaultKind, PlannedFault, wall_clock_step_seconds
from soak.fleet import Fleet, Member
from soak.sidecar.process import SidecarProcess
from soak.sidecar.syscall_faults import FaultyCall

MAX_PAUSE_SECONDS = 0.15
"""Seconds for which a sidecar is stalled, at most; the invariants tolerate no longer stall."""
MAX_RESTART_DELAY_SECONDS = 0.3
"""Seconds between the end of a process and the start of the next, at most."""
READY_TIMEOUT_SECONDS = 10.0
"""Seconds that a process may take to become ready, or to end after SIGKILL."""
MAX_SHUTDOWN_SECONDS = 3.0
"""Seconds that a graceful shutdown may take at most, even if requests have longer timeouts."""
KILL_MARGIN_SECONDS = 0.7
"""Seconds that a process gets beyond the time of a graceful shutdown, before it is killed."""
SOCKET_SHORTAGE_STRENGTH = 0.6
"""Strength of a restart beyond which the new process cannot get sockets at first."""
FAILED_SOCKET_CALLS_AT_START = 4
"""Calls of socket that fail in a new process that cannot get sockets at first."""
UNREADABLE_CONFIGURATION_STRENGTH = 0.6
"""Strength of a reload beyond which the configuration cannot be read at first."""
MAX_ADDITIONAL_RELOAD_SIGNALS = 2
"""SIGHUP signals that immediately follow the first one of a reload, at most."""
NANOSECONDS_PER_SECOND = 1_000_000_000


class ProcessFaultInjector:
    """Stops, kills, reloads and pauses sidecar processes, and steps the wall clock of all machines."""

    def __init__(self, fleet: Fleet, random: Random) -> None:
        self._fleet = fleet
        self._random = random

    def injections(self) -> InjectionsByKind:
        """Return the injection of each kind of fault that this class injects."""
        return {
            FaultKind.STOP_SIDECAR: self._stop,
            FaultKind.KILL_SIDECAR: self._kill,
            FaultKind.RELOAD_SIDECAR: self._reload,
            FaultKind.RELOAD_UNREADABLE: self._reload_unreadable,
            FaultKind.PAUSE_SIDECAR: self._pause,
            FaultKind.STEP_WALL_CLOCK: self._step_wall_clock,
        }

    async def _stop(self, fault: PlannedFault) -> str:
        """End a process with SIGTERM, and with SIGKILL if it takes too long; then start the next."""
        member = choose_member(self._fleet, fault)
        sidecar = member.sidecar
        if not sidecar.is_serving:
            return _describe_unavailable_sidecar(sidecar)
        sidecar.send_signal(signal.SIGTERM)
        shutdown_seconds = min(MAX_SHUTDOWN_SECONDS, self._fleet.deployment.longest_timeout_seconds)
        if not await sidecar.wait_until_ended(shutdown_seconds + KILL_MARGIN_SECONDS):
            sidecar.send_signal(signal.SIGKILL)
            await sidecar.wait_until_ended(READY_TIMEOUT_SECONDS)
        await self._restart(member, fault)
        return sidecar.name

    async def _kill(self, fault: PlannedFault) -> str:
        """End a process with SIGKILL, then start the next."""
        member = choose_member(self._fleet, fault)
        sidecar = member.sidecar
        if not sidecar.is_serving:
            return _describe_unavailable_sidecar(sidecar)
        sidecar.send_signal(signal.SIGKILL)
        await sidecar.wait_until_ended(READY_TIMEOUT_SECONDS)
        await self._restart(member, fault)
        return sidecar.name

    async def _restart(self, member: Member, fault: PlannedFault) -> None:
        """Start the next process of a sidecar; under a strong fault it cannot get sockets at first."""
        sidecar = member.sidecar
        await asyncio.sleep(MAX_RESTART_DELAY_SECONDS * self._random.random())
        if fault.strength > SOCKET_SHORTAGE_STRENGTH:
            error = self._random.choice(SOCKET_ERRORS)
            sidecar.faults.fail(FaultyCall.SOCKET, error, FAILED_SOCKET_CALLS_AT_START)
        await sidecar.start()
        await sidecar.wait_until_ready(READY_TIMEOUT_SECONDS)

    async def _reload(self, fault: PlannedFault) -> str:
        """Reload a configuration with a new address of discovery; a strong fault sends several signals."""
        sidecar = choose_member(self._fleet, fault).sidecar
        if not sidecar.is_serving or sidecar.agent.is_down:
            return f"{sidecar.name}, which did not serve or had no discovery"
        await sidecar.agent.listen_at_new_address()
        sidecar.write_configuration()
        if fault.strength > UNREADABLE_CONFIGURATION_STRENGTH:
            sidecar.faults.fail(FaultyCall.OPEN_CONFIGURATION, errno.EIO, 1)
        for _ in range(1 + int(MAX_ADDITIONAL_RELOAD_SIGNALS * fault.strength)):
            sidecar.send_signal(signal.SIGHUP)
        await asyncio.sleep(fault.seconds)
        sidecar.faults.stop_failing(FaultyCall.OPEN_CONFIGURATION)
        return sidecar.name

    async def _reload_unreadable(self, fault: PlannedFault) -> str:
        """Reload a configuration that cannot be read at first."""
        sidecar = choose_member(self._fleet, fault).sidecar
        if not sidecar.is_serving:
            return _describe_unavailable_sidecar(sidecar)
        sidecar.faults.fail(FaultyCall.OPEN_CONFIGURATION, errno.EIO, 1)
        sidecar.send_signal(signal.SIGHUP)
        await asyncio.sleep(fault.seconds)
        sidecar.faults.stop_failing(FaultyCall.OPEN_CONFIGURATION)
        return sidecar.name

    async def _pause(self, fault: PlannedFault) -> str:
        """Stall a process for a moment with SIGSTOP."""
        sidecar = choose_member(self._fleet, fault).sidecar
        sidecar.send_signal(signal.SIGSTOP)
        await asyncio.sleep(MAX_PAUSE_SECONDS * fault.strength)
        sidecar.send_signal(signal.SIGCONT)
        return sidecar.name

    async def _step_wall_clock(self, fault: PlannedFault) -> str:
        """Step the wall clock of all sidecars, and the one for start times in the endpoint list."""
        step_seconds = wall_clock_step_seconds(fault.strength)
        clock = self._fleet.clock
        clock.wall_clock_offset_ns += int(step_seconds * NANOSECONDS_PER_SECOND)
        for member in self._fleet.members:
            member.sidecar.faults.step_wall_clock(clock.wall_clock_offset_ns)
        return f"all, by {step_seconds:+.0f} s"


def _describe_unavailable_sidecar(sidecar: SidecarProcess) -> str:
    return f"{sidecar.name}, which did not serve"
