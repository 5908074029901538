"""Loopback addresses. Each listener has a host of its own, so that no outgoing connection takes its port."""

from __future__ import annotations

import socket

from soak.network.sockets import Address

HOSTS_PER_SUBNET = 250
"""Number of hosts of a /24 network that are used: 1 to 250."""


def sidecar_host(index: int) -> str:
    """Return the host of a sidecar."""
    return f"127.1.{index // HOSTS_PER_SUBNET}.{index % HOSTS_PER_SUBNET + 1}"


def server_host(index: int) -> str:
    """Return the host of an account server's proxy."""
    return f"127.2.{index // HOSTS_PER_SUBNET}.{index % HOSTS_PER_SUBNET + 1}"


def agent_host(index: int) -> str:
    """Return the host of a discovery agent."""
    return f"127.3.{index // HOSTS_PER_SUBNET}.{index % HOSTS_PER_SUBNET + 1}"


def free_address(host: str) -> Address:
    """Return the host with a port that is free now."""
    with socket.socket() as bound_socket:
        bound_socket.bind((host, 0))
        port: int = bound_socket.getsockname()[1]
        return host, port
