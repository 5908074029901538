"""Values of socket options with which the tests make connections slow or end them by a reset."""

from __future__ import annotations

import struct

SMALL_BUFFER_BYTES = 4096
"""The size of a socket buffer that takes only a part of a long message."""

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""The value of SO_LINGER that makes closing a socket reset its connection (socket(7))."""
