"""Runs the policies of many simulated sidecars over the simulator's protocol.

The adapter only translates and makes no decisions itself. An instance is one simulated sidecar.
"""

from __future__ import annotations

from typing import BinaryIO

from balancer import settings_parser
from balancer.policy.balancer import Balancer
from balancer.policy_api import Action, Started
from balancer.simulator.action_encoder import encode_action, encode_failure
from balancer.simulator.event_decoder import EventDecoder, InstanceStarted, InstanceStopped, SimulatorEvent
from balancer.simulator.frames import Batch, encode_reply, read_batch


class InstanceHost:
    """Holds the policies of the simulated sidecars in this process, by the number of the instance."""

    def __init__(self) -> None:
        self._decoder = EventDecoder()
        self._balancers: dict[int, Balancer] = {}

    def handle_batch(self, batch: Batch) -> list[bytes]:
        """Handle the events of a batch in order. Returns the records of the reply.

        Raises:
            WireFormatError: the batch violates the simulator's protocol.
        """
        reply: list[bytes] = []
        for instance, event in self._decoder.decode(batch.records, batch.record_count):
            try:
                actions = self._handle(instance, batch.now_ns, event)
                reply.extend(encode_action(instance, action) for action in actions)
            except Exception as error:
                # The simulator gets any failure of a policy with its cause; the other instances continue.
                self._balancers.pop(instance, None)
                reply.append(encode_failure(instance, f"{type(error).__name__}: {error}"))
        return reply

    def _handle(self, instance: int, now_ns: int, event: SimulatorEvent) -> list[Action]:
        if isinstance(event, InstanceStarted):
            return self._start_instance(instance, now_ns, event)
        if isinstance(event, InstanceStopped):
            self._balancers.pop(instance, None)
            return []
        balancer = self._balancers.get(instance)
        if balancer is None:
            return []  # the instance is not started, has been stopped or has failed
        return balancer.handle(now_ns, event)

    def _start_instance(self, instance: int, now_ns: int, event: InstanceStarted) -> list[Action]:
        settings = settings_parser.parse_settings(event.settings_json)
        balancer = Balancer(settings, event.random_seed)
        self._balancers[instance] = balancer
        return balancer.handle(now_ns, Started())


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Reply to batches until the input ends.

    Raises:
        WireFormatError: the input violates the simulator's protocol; the malformed batch gets no reply.
    """
    host = InstanceHost()
    while (batch := read_batch(source)) is not None:
        sink.write(encode_reply(host.handle_batch(batch)))
        sink.flush()
