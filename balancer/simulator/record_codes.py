"""The codes of records, outcomes, update kinds and health states in the simulator's protocol.

Events and actions have separate sets of record codes. The comments give the names in the simulator's manual.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Final

from balancer.policy_api import AttemptOutcome, EndpointHealth, EndpointUpdateKind


class EventCode(IntEnum):
    """The first byte of each record that the simulator sends."""

    ENDPOINT_LIST = 16  # pool
    HEALTH_CHECK_COMPLETED = 17  # check_result
    STREAM_STARTED = 18  # opened
    REQUEST_RECEIVED = 19  # inbound
    TIMER_FIRED = 20  # ring
    INSTANCE_STOPPED = 21  # stop
    GOSSIP_RECEIVED = 22  # memo
    ENDPOINT_UPDATE = 23  # sync
    ATTEMPT_COMPLETED = 24  # completed
    CLIENT_DISCONNECTED = 25  # gone
    INSTANCE_STARTED = 26  # attach


class ActionCode(IntEnum):
    """The first byte of each record of a reply."""

    START_ATTEMPT = 16  # deliver
    REJECT_REQUEST = 17  # decline
    FAIL_REQUEST = 18  # abort
    CANCEL_ATTEMPT = 19  # drop_attempt
    SET_TIMER = 20  # schedule
    START_HEALTH_CHECK = 21  # probe
    CLOSE_IDLE_CONNECTIONS = 22  # disconnect
    SEND_GOSSIP = 23  # broadcast_to
    WRITE_LOG = 24  # print
    REPORT_FAILURE = 25  # die
    WATCH_ENDPOINTS = 26  # tail
    FETCH_ENDPOINTS = 27  # pull


OUTCOME_BY_CODE: Final = {
    0: AttemptOutcome.SUCCESS,
    1: AttemptOutcome.CANCELLED,
    4: AttemptOutcome.TIMEOUT,
    8: AttemptOutcome.REJECTED,
    9: AttemptOutcome.NOT_SENT,
    10: AttemptOutcome.CONNECTION_RESET,
    13: AttemptOutcome.SERVER_ERROR,
    14: AttemptOutcome.CONNECT_FAILED,
}

UPDATE_KIND_BY_CODE: Final = {
    0: EndpointUpdateKind.DISCOVERY_FAILED,
    2: EndpointUpdateKind.CACHED,
    3: EndpointUpdateKind.DELTA,
    4: EndpointUpdateKind.SNAPSHOT,
}

HEALTH_BY_CODE: Final = {
    0: EndpointHealth.REMOVED,
    1: EndpointHealth.READY,
    2: EndpointHealth.DRAINING,
}

WORK_HINT_PRESENT_FLAG: Final = 1
"""Bit in the flags of a request: the request has a work hint."""

CLIENT_RETRY_FLAG: Final = 2
"""Bit in the flags of a request: the client marked it as a retry."""
