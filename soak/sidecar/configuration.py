"""The configuration file of a sidecar under test."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from soak.deployment import Deployment
from soak.discovery.agent import DiscoveryAgent
from soak.network.sockets import Address
from soak.sidecar.settings_document import settings_document

CORES = 1.0
"""Processor cores that the configuration grants to each sidecar."""


class ConfigurationFile:
    """Writes the configuration of one sidecar. Its keys are those of the sidecar's configuration format.

    Attributes:
        path: the path of the file.
    """

    def __init__(
        self, path: Path, position: int, address: Address, deployment: Deployment, agent: DiscoveryAgent
    ) -> None:
        self.path = path
        self._position = position
        self._address = address
        self._deployment = deployment
        self._agent = agent

    def write(self, start_count: int) -> None:
        """Write the configuration atomically, with the current address of the discovery agent.

        Args:
            start_count: the number of processes of the sidecar started so far, including the current one.
        """
        temporary = self.path.with_suffix(".new")
        temporary.write_text(json.dumps(self._document(start_count)))
        temporary.replace(self.path)

    def _document(self, start_count: int) -> dict[str, Any]:
        host, port = self._address
        discovery_host, discovery_port = self._agent.address
        return {
            "name": self._agent.sidecar,
            "listen": f"{host}:{port}",
            "discovery": f"{discovery_host}:{discovery_port}",
            "seed": f"{self._position + 1:x}{start_count:x}",
            "limits": {
                "cores": CORES,
                "memory_mb": self._deployment.memory_megabytes,
                "sockets": self._deployment.max_descriptors,
            },
            "known": self._agent.known_endpoints(),
            "settings": settings_document(self._deployment, self._position),
        }
