"""Encodes the actions of the decisions as action records of the simulator's wire."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from struct import Struct
from typing import TypeAlias, TypeVar, cast

from balancer.policy_api import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    FetchEndpoints,
    RejectRequest,
    SendGossip,
    SetTimer,
    StartAttempt,
    StartHealthCheck,
    WatchEndpoints,
    WriteLog,
)
from balancer.simulator.record_codes import ActionCode

ActionT = TypeVar("ActionT", bound=Action)
ActionWriter: TypeAlias = Callable[[int, ActionT], bytes]
"""Encodes one type of action of the instance with this number."""

MAX_TEXT_BYTES = 60_000  # of a line for the report, so that its length fits into two bytes
_RECIPIENT_MASK = 0xFFFF  # turns -1, for all sidecars, into all bits set


def _packer(code: ActionCode, field_formats: str) -> Callable[..., bytes]:
    """Make a function that packs the instance and the fields, in the formats of `struct`, after the code."""
    # The code is fixed here as a plain int: looking it up and converting it takes longer than packing.
    return partial(Struct(f"<BH{field_formats}").pack, code.value)


_pack_start_attempt: Callable[[int, int, bytes, int], bytes] = _packer(ActionCode.START_ATTEMPT, "Q6sQ")
_pack_reject_request: Callable[[int, int, int], bytes] = _packer(ActionCode.REJECT_REQUEST, "QQ")
_pack_fail_request: Callable[[int, int], bytes] = _packer(ActionCode.FAIL_REQUEST, "Q")
_pack_cancel_attempt: Callable[[int, int, int], bytes] = _packer(ActionCode.CANCEL_ATTEMPT, "QB")
_pack_set_timer: Callable[[int, int, int], bytes] = _packer(ActionCode.SET_TIMER, "QQ")
_pack_start_health_check: Callable[[int, bytes], bytes] = _packer(ActionCode.START_HEALTH_CHECK, "6s")
_pack_close_idle_connections: Callable[[int, bytes], bytes] = _packer(ActionCode.CLOSE_IDLE_CONNECTIONS, "6s")
_pack_send_gossip: Callable[[int, int, int], bytes] = _packer(ActionCode.SEND_GOSSIP, "HH")
_pack_write_log: Callable[[int, int], bytes] = _packer(ActionCode.WRITE_LOG, "H")
_pack_report_failure: Callable[[int, int], bytes] = _packer(ActionCode.REPORT_FAILURE, "H")
_pack_watch_endpoints: Callable[[int, bool], bytes] = _packer(ActionCode.WATCH_ENDPOINTS, "B")
_pack_fetch_endpoints: Callable[[int], bytes] = _packer(ActionCode.FETCH_ENDPOINTS, "")


def encode_action(instance: int, action: Action) -> bytes:
    """Encode one action of an instance."""
    return _WRITERS[type(action)](instance, action)


def encode_failure(instance: int, description: str) -> bytes:
    """Encode that the decisions of an instance have failed, which ends the simulated day."""
    text = _encode_text(description)
    return _pack_report_failure(instance, len(text)) + text


def _encode_start_attempt(instance: int, action: StartAttempt) -> bytes:
    return _pack_start_attempt(instance, action.request_id, action.endpoint_id, action.timeout_ns)


def _encode_reject_request(instance: int, action: RejectRequest) -> bytes:
    return _pack_reject_request(instance, action.request_id, action.retry_after_ns)


def _encode_fail_request(instance: int, action: FailRequest) -> bytes:
    return _pack_fail_request(instance, action.request_id)


def _encode_cancel_attempt(instance: int, action: CancelAttempt) -> bytes:
    return _pack_cancel_attempt(instance, action.request_id, action.attempt_index)


def _encode_set_timer(instance: int, action: SetTimer) -> bytes:
    return _pack_set_timer(instance, action.delay_ns, action.token)


def _encode_start_health_check(instance: int, action: StartHealthCheck) -> bytes:
    return _pack_start_health_check(instance, action.endpoint_id)


def _encode_close_idle_connections(instance: int, action: CloseIdleConnections) -> bytes:
    return _pack_close_idle_connections(instance, action.endpoint_id)


def _encode_send_gossip(instance: int, action: SendGossip) -> bytes:
    recipient = action.recipient_index & _RECIPIENT_MASK
    header = _pack_send_gossip(instance, recipient, len(action.payload))
    return header + action.payload


def _encode_write_log(instance: int, action: WriteLog) -> bytes:
    text = _encode_text(action.text)
    return _pack_write_log(instance, len(text)) + text


def _encode_watch_endpoints(instance: int, action: WatchEndpoints) -> bytes:
    return _pack_watch_endpoints(instance, action.enabled)


def _encode_fetch_endpoints(instance: int, _action: FetchEndpoints) -> bytes:
    return _pack_fetch_endpoints(instance)


def _encode_text(text: str) -> bytes:
    return text.encode("utf-8", "replace")[:MAX_TEXT_BYTES]


def _writer_of(
    action_type: type[ActionT], writer: ActionWriter[ActionT]
) -> tuple[type[object], ActionWriter[Action]]:
    """Pair a type of action with its writer, which is only ever called with actions of this type."""
    return action_type, cast("ActionWriter[Action]", writer)


_WRITERS = dict(
    (
        _writer_of(StartAttempt, _encode_start_attempt),
        _writer_of(RejectRequest, _encode_reject_request),
        _writer_of(FailRequest, _encode_fail_request),
        _writer_of(CancelAttempt, _encode_cancel_attempt),
        _writer_of(SetTimer, _encode_set_timer),
        _writer_of(StartHealthCheck, _encode_start_health_check),
        _writer_of(CloseIdleConnections, _encode_close_idle_connections),
        _writer_of(SendGossip, _encode_send_gossip),
        _writer_of(WriteLog, _encode_write_log),
        _writer_of(WatchEndpoints, _encode_watch_endpoints),
        _writer_of(FetchEndpoints, _encode_fetch_endpoints),
    )
)
