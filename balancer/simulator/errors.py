"""Errors for input that violates the simulator's protocol."""

from __future__ import annotations

from typing import ClassVar

from balancer.errors import ProtocolError


class WireFormatError(ProtocolError):
    """The simulator sent bytes that its protocol does not allow."""


class TruncatedFrameError(WireFormatError):
    """The input ended inside a frame."""

    def __init__(self, part: str, expected_bytes: int, received_bytes: int) -> None:
        super().__init__(f"truncated input: it ends inside a {part}")
        self.part = part
        self.expected_bytes = expected_bytes
        self.received_bytes = received_bytes


class FrameLengthError(WireFormatError):
    """The frame length in a frame header is less than the length of the header itself."""

    def __init__(self, frame_bytes: int) -> None:
        super().__init__(f"expected a frame length of at least the header's length, got {frame_bytes}")
        self.frame_bytes = frame_bytes


class MissingRecordError(WireFormatError):
    """A frame holds fewer records than its header announces."""

    def __init__(self, announced_records: int, decoded_records: int) -> None:
        super().__init__("truncated frame: it has fewer records than its header announces")
        self.announced_records = announced_records
        self.decoded_records = decoded_records


class TruncatedRecordError(WireFormatError):
    """A frame ended inside the fixed fields or the floats of a record."""

    def __init__(self, record_code: int) -> None:
        super().__init__(f"truncated record of code {record_code}")
        self.record_code = record_code


class RecordOverrunError(WireFormatError):
    """The byte string of a record extends past the end of its frame."""

    def __init__(self, expected_bytes: int, remaining_bytes: int) -> None:
        super().__init__("truncated frame: the byte string of a record extends past the end of the frame")
        self.expected_bytes = expected_bytes
        self.remaining_bytes = remaining_bytes


class TruncatedEndpointListError(WireFormatError):
    """An endpoint list announces more entries than the rest of its frame holds."""

    def __init__(self, list_number: int, entry_count: int) -> None:
        super().__init__("truncated endpoint list: it announces more entries than its frame holds")
        self.list_number = list_number
        self.entry_count = entry_count


class TrailingBytesError(WireFormatError):
    """A frame has bytes after its last record."""

    def __init__(self, remaining_bytes: int) -> None:
        super().__init__(f"{remaining_bytes} bytes left after the last record")
        self.remaining_bytes = remaining_bytes


class UnknownCodeError(WireFormatError):
    """A field holds a code that the protocol does not define; each such field has its own subclass."""

    message_format: ClassVar[str] = "unknown code {code}"
    """The message, with a placeholder for the code."""

    def __init__(self, code: int) -> None:
        super().__init__(self.message_format.format(code=code))
        self.code = code


class UnknownRecordCodeError(UnknownCodeError):
    """A record has a code that stands for no event."""

    message_format = "unknown record code {code}"


class UnknownOutcomeCodeError(UnknownCodeError):
    """An attempt or a health check has an outcome code that the protocol does not define."""

    message_format = "unknown outcome code {code}"


class UnknownUpdateKindError(UnknownCodeError):
    """An endpoint update has a kind that the protocol does not define."""

    message_format = "unknown endpoint update kind {code}"


class UnknownHealthCodeError(UnknownCodeError):
    """An entry of an endpoint list has a health code that the protocol does not define."""

    message_format = "unknown health code {code} in an endpoint list"


class UndefinedEndpointListError(WireFormatError):
    """An endpoint update refers to an endpoint list that no earlier record defined."""

    def __init__(self, list_number: int) -> None:
        super().__init__(f"endpoint list {list_number} is not defined by any earlier record")
        self.list_number = list_number
