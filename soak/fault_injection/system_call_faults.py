"""Faults of the system calls of sidecar processes: failures, short transfers and interruptions."""

from __future__ import annotations

import asyncio
import errno
from random import Random

from soak.fault_injection.targets import InjectionsByKind, choose_member
from soak.fault_plan import FaultKind, PlannedFault
from soak.fleet import Fleet
from soak.sidecar.syscall_faults import FaultyCall

MAX_FAILED_CALLS = 20
"""Consecutive calls that fail under the strongest fault."""
MIN_TRANSFER_BYTES = 200
"""Bytes of a short read or write, at least; at one byte each, a request of 20 KB would miss its deadline."""
TRANSFER_BYTES_RANGE = 1000
"""Bytes by which a short read or write may exceed the minimum."""
MIN_INTERRUPT_INTERVAL = 2
"""Calls per interruption, at least; at 2, every second call is interrupted and its retry succeeds."""
INTERRUPT_INTERVAL_RANGE = 5
"""Calls by which the interval between interruptions may exceed the minimum."""

ACCEPT_ERRORS = (
    errno.ECONNABORTED,
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EPROTO,
)
"""Errors that accept(2) documents for an intact listening socket."""
SOCKET_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
"""Errors that socket(2) documents for a shortage of descriptors or memory."""
CONNECT_ERRORS = (
    errno.EADDRNOTAVAIL,
    errno.ENETUNREACH,
    errno.EHOSTUNREACH,
    errno.ETIMEDOUT,
    errno.ECONNREFUSED,
    errno.EAGAIN,
)
"""Errors that connect(2) documents for a TCP socket."""


class SystemCallFaultInjector:
    """Makes system calls of one sidecar fail, transfer few bytes or be interrupted."""

    def __init__(self, fleet: Fleet, random: Random) -> None:
        self._fleet = fleet
        self._random = random

    def injections(self) -> InjectionsByKind:
        """Return the injection of each kind of fault that this class injects."""
        return {
            FaultKind.ACCEPT_FAILS: self._fail_accept,
            FaultKind.SOCKET_FAILS: self._fail_socket,
            FaultKind.CONNECT_FAILS: self._fail_connect,
            FaultKind.SHORT_TRANSFERS: self._shorten_transfers,
            FaultKind.INTERRUPTED_CALLS: self._interrupt_calls,
        }

    async def _fail_accept(self, fault: PlannedFault) -> str:
        return await self._fail_calls(fault, FaultyCall.ACCEPT, ACCEPT_ERRORS)

    async def _fail_socket(self, fault: PlannedFault) -> str:
        return await self._fail_calls(fault, FaultyCall.SOCKET, SOCKET_ERRORS)

    async def _fail_connect(self, fault: PlannedFault) -> str:
        return await self._fail_calls(fault, FaultyCall.CONNECT, CONNECT_ERRORS)

    async def _fail_calls(self, fault: PlannedFault, call: FaultyCall, errors: tuple[int, ...]) -> str:
        sidecar = choose_member(self._fleet, fault).sidecar
        error = self._random.choice(errors)
        sidecar.faults.fail(call, error, 1 + int(MAX_FAILED_CALLS * fault.strength**2))
        await asyncio.sleep(fault.seconds)
        sidecar.faults.stop_failing(call)
        return f"{sidecar.name}, {errno.errorcode[error]}"

    async def _shorten_transfers(self, fault: PlannedFault) -> str:
        sidecar = choose_member(self._fleet, fault).sidecar
        sidecar.faults.limit_transfers(
            max_read_bytes=MIN_TRANSFER_BYTES + int(TRANSFER_BYTES_RANGE * fault.strength),
            max_write_bytes=MIN_TRANSFER_BYTES + int(TRANSFER_BYTES_RANGE * self._random.random()),
        )
        await asyncio.sleep(fault.seconds)
        sidecar.faults.remove_transfer_limits()
        return sidecar.name

    async def _interrupt_calls(self, fault: PlannedFault) -> str:
        sidecar = choose_member(self._fleet, fault).sidecar
        interval = MIN_INTERRUPT_INTERVAL + int(INTERRUPT_INTERVAL_RANGE * fault.strength)
        sidecar.faults.interrupt_every(interval)
        await asyncio.sleep(fault.seconds)
        sidecar.faults.stop_interrupting()
        return sidecar.name
