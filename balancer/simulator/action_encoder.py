"""Encodes the actions of the policy as action records of the simulator's protocol."""

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
ActionEncoder: TypeAlias = Callable[[int, ActionT], bytes]
"""A function that encodes actions of one type; its first argument is the number of the instance."""

MAX_TEXT_BYTES = 60_000
"""Maximum length of the text of a log line or a failure, in bytes; its length field has two bytes."""

_RECIPIENT_MASK = 0xFFFF
"""Converts the recipient -1, which stands for all sidecars, to a two-byte field with all bits set."""


def _packer(code: ActionCode, field_formats: str) -> Callable[..., bytes]:
    """Return a function that packs the record code, the instance and fields with these `struct` formats."""
    # The code is bound as a plain int: converting an enum member takes longer than packing the record.
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
    """Encode one action of an instance as a record."""
    return _ENCODERS[type(action)](instance, action)


def encode_failure(instance: int, description: str) -> bytes:
    """Encode a report that the policy of an instance has failed, which ends the simulated scenario."""
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


def _encoder_entry(
    action_type: type[ActionT], encoder: ActionEncoder[ActionT]
) -> tuple[type[object], ActionEncoder[Action]]:
    """Pair an action type with its encoder, which is only called with actions of this type."""
    return action_type, cast("ActionEncoder[Action]", encoder)


_ENCODERS = dict(
    (
        _encoder_entry(StartAttempt, _encode_start_attempt),
        _encoder_entry(RejectRequest, _encode_reject_request),
        _encoder_entry(FailRequest, _encode_fail_request),
        _encoder_entry(CancelAttempt, _encode_cancel_attempt),
        _encoder_entry(SetTimer, _encode_set_timer),
        _encoder_entry(StartHealthCheck, _encode_start_health_check),
        _encoder_entry(CloseIdleConnections, _encode_close_idle_connections),
        _encoder_entry(SendGossip, _encode_send_gossip),
        _encoder_entry(WriteLog, _encode_write_log),
        _encoder_entry(WatchEndpoints, _encode_watch_endpoints),
        _encoder_entry(FetchEndpoints, _encode_fetch_endpoints),
    )
)
