"""Decodes the event records of the simulator's protocol into events of the policy."""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import TypeAlias, TypeVar, cast

from balancer.policy_api import (
    AttemptCompleted,
    AttemptOutcome,
    ClientDisconnected,
    Endpoint,
    EndpointHealth,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    GossipReceived,
    HealthCheckCompleted,
    RequestReceived,
    StreamStarted,
    TimerFired,
)
from balancer.simulator.errors import (
    MissingRecordError,
    RecordOverrunError,
    TrailingBytesError,
    TruncatedEndpointListError,
    TruncatedRecordError,
    UndefinedEndpointListError,
    UnknownHealthCodeError,
    UnknownOutcomeCodeError,
    UnknownRecordCodeError,
    UnknownUpdateKindError,
)
from balancer.simulator.record_codes import (
    CLIENT_RETRY_FLAG,
    HEALTH_BY_CODE,
    OUTCOME_BY_CODE,
    UPDATE_KIND_BY_CODE,
    WORK_HINT_PRESENT_FLAG,
    EventCode,
)
from balancer.simulator.record_reader import RecordReader


@dataclass(frozen=True, slots=True)
class InstanceStarted:
    """An instance was started.

    The settings are not parsed yet: invalid settings are a failure of the instance, not of the protocol.
    """

    random_seed: int
    settings_json: bytes


@dataclass(frozen=True, slots=True)
class InstanceStopped:
    """An instance was killed; its state is lost."""


SimulatorEvent: TypeAlias = InstanceStarted | InstanceStopped | Event
"""What the simulator sends to an instance: an event for its policy, or its start or end."""

# A plain tuple: one is created for every event, and an object of a class takes longer to create.
InstanceEvent: TypeAlias = tuple[int, SimulatorEvent]
"""The number of an instance and its event."""

FixedFields: TypeAlias = tuple[int, *tuple[int | bytes, ...]]
"""The fixed fields of a record.

The first field is the number of the instance, or of the endpoint list in a record that defines one.
"""

FieldsT = TypeVar("FieldsT", bound=tuple[int, *tuple[int | bytes, ...]])


class RecordType:
    """A type of event record: the layout of its fixed fields and the function that builds its event."""

    __slots__ = ("build_event", "fixed_fields_bytes", "unpack_from")

    def __init__(
        self, field_formats: str, build_event: Callable[[FieldsT, RecordReader], SimulatorEvent | None]
    ) -> None:
        """Create the type.

        Args:
            field_formats: The `struct` formats of the fixed fields, which follow the record code.
            build_event: Called with the fixed fields and a reader that is positioned after them. Returns None
                for a record that is not an event.
        """
        layout = struct.Struct(f"<x{field_formats}")  # "x" skips the record code, which the caller has read
        self.fixed_fields_bytes = layout.size
        self.unpack_from: Callable[[bytes, int], FixedFields] = layout.unpack_from
        self.build_event = cast("Callable[[FixedFields, RecordReader], SimulatorEvent | None]", build_event)


_LIST_ENTRY = struct.Struct("<6sBHHBfQ")
"""An entry of an endpoint list, with the fields of `Endpoint` in their order."""


class EventDecoder:
    """Decodes batches and stores the numbered endpoint lists, which all instances of the process share."""

    def __init__(self) -> None:
        self._endpoint_lists: dict[int, tuple[Endpoint, ...]] = {}
        # The keys are plain integers: looking up enum members takes longer.
        self._record_types: dict[int, RecordType] = {
            EventCode.ENDPOINT_LIST.value: RecordType("HI", self._define_endpoint_list),
            EventCode.HEALTH_CHECK_COMPLETED.value: RecordType("H6sHQB", _build_health_check_completed),
            EventCode.STREAM_STARTED.value: RecordType("HQB6sQ", _build_stream_started),
            EventCode.REQUEST_RECEIVED.value: RecordType("HQHIQQQB", _build_request_received),
            EventCode.TIMER_FIRED.value: RecordType("HQ", _build_timer_fired),
            EventCode.INSTANCE_STOPPED.value: RecordType("H", _build_instance_stopped),
            EventCode.GOSSIP_RECEIVED.value: RecordType("HIH", _build_gossip_received),
            EventCode.ENDPOINT_UPDATE.value: RecordType("HBHQ", self._build_endpoint_update),
            EventCode.ATTEMPT_COMPLETED.value: RecordType("HQB6sHQBB", _build_attempt_completed),
            EventCode.CLIENT_DISCONNECTED.value: RecordType("HQ", _build_client_disconnected),
            EventCode.INSTANCE_STARTED.value: RecordType("HQI", _build_instance_started),
        }

    def decode(self, records: bytes, record_count: int) -> Iterator[InstanceEvent]:
        """Decode the records of one batch, in order.

        Raises:
            WireFormatError: the records violate the protocol; the earlier events have been yielded.
        """
        record_types = self._record_types
        reader = RecordReader(records)
        for decoded_records in range(record_count):
            position = reader.position
            try:
                record_code = records[position]
                record_type = record_types[record_code]
            except IndexError:
                raise MissingRecordError(record_count, decoded_records) from None
            except KeyError:
                raise UnknownRecordCodeError(record_code) from None
            try:
                fields = record_type.unpack_from(records, position)
                reader.position = position + record_type.fixed_fields_bytes
                event = record_type.build_event(fields, reader)
            except struct.error:
                raise TruncatedRecordError(record_code) from None
            if event is not None:
                yield fields[0], event
        if reader.position != len(records):
            raise TrailingBytesError(len(records) - reader.position)

    def _define_endpoint_list(self, fields: tuple[int, int], reader: RecordReader) -> None:
        """Store a numbered endpoint list; it replaces an earlier one with the same number."""
        list_number, entry_count = fields
        try:
            entries = reader.read_bytes(entry_count * _LIST_ENTRY.size)
        except RecordOverrunError:
            raise TruncatedEndpointListError(list_number, entry_count) from None
        self._endpoint_lists[list_number] = tuple(
            Endpoint(endpoint_id, zone, machine_class, cell, _health(health_code), weight, started_at_ns)
            for endpoint_id, zone, machine_class, cell, health_code, weight, started_at_ns in (
                _LIST_ENTRY.iter_unpack(entries)
            )
        )

    def _build_endpoint_update(
        self, fields: tuple[int, int, int, int], _reader: RecordReader
    ) -> EndpointUpdate:
        _instance, kind_code, list_number, _version = fields
        kind = _update_kind(kind_code)
        if kind is EndpointUpdateKind.DISCOVERY_FAILED:
            return EndpointUpdate(kind, ())
        endpoints = self._endpoint_lists.get(list_number)
        if endpoints is None:
            raise UndefinedEndpointListError(list_number)
        return EndpointUpdate(kind, endpoints)


def _build_health_check_completed(
    fields: tuple[int, bytes, int, int, int], reader: RecordReader
) -> HealthCheckCompleted:
    _instance, endpoint_id, outcome_code, duration_ns, report_length = fields
    load_report = reader.read_floats(report_length) if report_length else ()
    return HealthCheckCompleted(endpoint_id, _outcome(outcome_code), duration_ns, load_report)


def _build_stream_started(fields: tuple[int, int, int, bytes, int], _reader: RecordReader) -> StreamStarted:
    _instance, request_id, _attempt_index, _endpoint_id, _duration_ns = fields
    return StreamStarted(request_id)


def _build_request_received(
    fields: tuple[int, int, int, int, int, int, int, int], _reader: RecordReader
) -> RequestReceived:
    _instance, request_id, class_index, tenant_index, key_hash, expires_at_ns, work_hint_ns, flags = fields
    if not flags & WORK_HINT_PRESENT_FLAG:
        work_hint_ns = 0
    is_retry = bool(flags & CLIENT_RETRY_FLAG)
    return RequestReceived(
        request_id, class_index, tenant_index, key_hash, expires_at_ns, work_hint_ns, is_retry
    )


def _build_timer_fired(fields: tuple[int, int], _reader: RecordReader) -> TimerFired:
    _instance, token = fields
    return TimerFired(token)


def _build_instance_stopped(_fields: tuple[int], _reader: RecordReader) -> InstanceStopped:
    return InstanceStopped()


def _build_gossip_received(fields: tuple[int, int, int], reader: RecordReader) -> GossipReceived:
    _instance, sender_index, payload_bytes = fields
    return GossipReceived(sender_index, reader.read_bytes(payload_bytes))


def _build_attempt_completed(
    fields: tuple[int, int, int, bytes, int, int, int, int], reader: RecordReader
) -> AttemptCompleted:
    (
        _instance,
        request_id,
        attempt_index,
        endpoint_id,
        outcome_code,
        duration_ns,
        request_finished,
        report_length,
    ) = fields
    load_report = reader.read_floats(report_length) if report_length else ()
    return AttemptCompleted(
        request_id,
        attempt_index,
        endpoint_id,
        _outcome(outcome_code),
        duration_ns,
        request_finished != 0,
        load_report,
    )


def _build_client_disconnected(fields: tuple[int, int], _reader: RecordReader) -> ClientDisconnected:
    _instance, request_id = fields
    return ClientDisconnected(request_id)


def _build_instance_started(fields: tuple[int, int, int], reader: RecordReader) -> InstanceStarted:
    _instance, random_seed, settings_bytes = fields
    return InstanceStarted(random_seed, reader.read_bytes(settings_bytes))


def _outcome(code: int) -> AttemptOutcome:
    try:
        return OUTCOME_BY_CODE[code]
    except KeyError:
        raise UnknownOutcomeCodeError(code) from None


def _update_kind(code: int) -> EndpointUpdateKind:
    try:
        return UPDATE_KIND_BY_CODE[code]
    except KeyError:
        raise UnknownUpdateKindError(code) from None


def _health(code: int) -> EndpointHealth:
    try:
        return HEALTH_BY_CODE[code]
    except KeyError:
        raise UnknownHealthCodeError(code) from None
