"""Hosts many instances on the simulator's wire, over standard input and output. It decides nothing."""

from __future__ import annotations

import sys
from typing import BinaryIO

from balancer import settings_parser
from balancer.policy.balancer import Balancer
from balancer.policy_api import Started
from balancer.simulator import wire_codec


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends. Raises wire_codec.WireFormatError on a frame that can't be."""
    decoder = wire_codec.Decoder()
    instances: dict[int, Balancer] = {}
    encode = wire_codec.encode
    while True:
        head = source.read(wire_codec.BATCH.size)
        if not head:
            return
        if len(head) < wire_codec.BATCH.size:
            raise wire_codec.WireFormatError("truncated frame header")
        size, now, count = wire_codec.BATCH.unpack(head)
        if size < wire_codec.BATCH.size:
            raise wire_codec.WireFormatError(f"impossible frame length {size}")
        body = source.read(size - wire_codec.BATCH.size)
        if len(body) < size - wire_codec.BATCH.size:
            raise wire_codec.WireFormatError("truncated frame")
        out: list[bytes] = []
        for number, event in decoder.events(body, count):
            if isinstance(event, wire_codec.Stop):
                instances.pop(number, None)
                continue
            try:
                if isinstance(event, wire_codec.Attach):
                    balancer = instances[number] = Balancer(
                        settings_parser.parse_settings(event.conf), event.seed
                    )
                    actions = balancer.handle(now, Started())
                elif (held := instances.get(number)) is not None:
                    actions = held.handle(now, event)
                else:
                    continue  # an event for an instance that was never started or has died
                for action in actions:
                    out.append(encode(number, action))
            except Exception as problem:  # any fault of the decisions ends the day, with its cause
                instances.pop(number, None)
                out.append(wire_codec.die(number, f"{type(problem).__name__}: {problem}"))
        sink.write(wire_codec.frame(out))
        sink.flush()


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire_codec.WireFormatError as problem:
        print(f"simhost: {problem}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
