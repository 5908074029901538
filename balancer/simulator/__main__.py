"""Runs the simulator's adapter: reads batches from standard input, writes replies to standard output."""

from __future__ import annotations

import sys

from balancer.simulator.adapter import serve
from balancer.simulator.errors import WireFormatError

EXIT_MALFORMED_INPUT = 2
"""Exit status if the input violates the simulator's protocol."""


def main() -> int:
    """Reply to batches until the input ends. Returns the exit status."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireFormatError as error:
        print(f"simhost: {error}", file=sys.stderr)
        return EXIT_MALFORMED_INPUT
    return 0


if __name__ == "__main__":
    sys.exit(main())
