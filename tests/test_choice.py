"""Subset and choice, endpoint health, list and drains."""

from __future__ import annotations

from collections import Counter

import pytest

from balancer.gossip_codec import QueueingEvidence
from balancer.policy import outlier_detection, subset
from balancer.policy.endpoint_state import SILENCE_NS
from balancer.policy_api import (
    Action,
    AttemptCompleted,
    AttemptOutcome,
    ClientDisconnected,
    CloseIdleConnections,
    EndpointHealth,
    EndpointUpdate,
    EndpointUpdateKind,
    HealthCheckCompleted,
    Idempotency,
    RejectRequest,
    RequestReceived,
    StartAttempt,
    StartHealthCheck,
    StreamStarted,
    TimerFired,
    WatchEndpoints,
)
from balancer.time_units import HOUR_NS
from tests.helpers import MS, SECOND, START, Bench, endpoint, request_class, settings


def test_idle_members_come_first() -> None:
    b = Bench(settings(), servers=20)
    size = len({b.sent().endpoint_id for _ in range(subset.MIN_FREE_SUBSET_SIZE)})
    assert size == subset.MIN_FREE_SUBSET_SIZE


def test_the_subset_is_small_and_grows_with_requests_in_flight() -> None:
    b = Bench(settings(connection_price=0.05), servers=40)
    for _ in range(50):
        b.answer(b.sent())
    assert len(b.balancer.subsets.local.members) == subset.MIN_SUBSET_SIZE
    for _ in range(12):
        b.sent()
    b.tick()
    b.sent()
    assert len(b.balancer.subsets.local.members) > subset.MIN_SUBSET_SIZE + 10


def test_a_burst_within_a_cycle_grows_the_subset_at_once() -> None:
    b = Bench(settings(connection_price=0.05), servers=40)
    used = Counter(b.sent().endpoint_id for _ in range(40))  # as at a start: nothing has been answered yet
    assert len(used) > 3 * subset.MIN_SUBSET_SIZE and max(used.values()) <= 4, used


def test_list_changes_move_little_of_the_subset() -> None:
    b = Bench(settings(connection_price=0.05), servers=40)
    b.sent()
    before = {m.id for m in b.balancer.subsets.local.members}
    gone = next(iter(before))
    b.give(
        EndpointUpdate(
            EndpointUpdateKind.DELTA,
            (endpoint(int.from_bytes(gone, "little"), EndpointHealth.REMOVED),),
        )
    )
    b.sent()
    after = {m.id for m in b.balancer.subsets.local.members}
    assert len(before & after) == len(before) - 1 and gone not in after


def test_a_quickly_erring_member_stops_drawing() -> None:
    """It is never busy with our requests, so an idle-first choice alone would favour it."""
    b = Bench(settings(), servers=8)
    bad = (1).to_bytes(6, "little")
    drawn = Counter[bytes]()
    for _ in range(400):
        b.now += 20 * MS
        send = b.sent()
        drawn[send.endpoint_id] += 1
        took = 2 * MS if send.endpoint_id == bad else 60 * MS
        b.answer(
            send,
            AttemptOutcome.SERVER_ERROR if send.endpoint_id == bad else AttemptOutcome.SUCCESS,
            took,
        )
        if send.endpoint_id == bad:
            b.give(ClientDisconnected(send.request_id))
    assert drawn[bad] < 400 / 8 / 3, drawn


def test_a_member_that_errs_is_not_out_but_takes_what_the_others_are_too_full_for() -> None:
    """As servers drain, the rest would hold all of it, and be slower for it."""
    b = Bench(settings(), servers=4)
    bad = (1).to_bytes(6, "little")
    for _ in range(40):
        b.now += 50 * MS
        send = b.sent()
        b.answer(
            send,
            AttemptOutcome.SERVER_ERROR if send.endpoint_id == bad else AttemptOutcome.SUCCESS,
        )
        if send.endpoint_id == bad:
            b.give(ClientDisconnected(send.request_id))
    b.now += 2 * SECOND  # longer than it takes to be ejected for not serving
    member = b.balancer.membership.endpoints[bad]
    for _ in range(12):
        b.balancer.record_outcome(
            member,
            AttemptCompleted(0, 0, bad, AttemptOutcome.SERVER_ERROR, 5 * MS, True, ()),
            None,
            b.now,
        )
    assert member.ejected_until_ns <= b.now
    b.tick()
    first = [b.sent().endpoint_id for _ in range(12)]
    assert bad not in first
    assert bad in [b.sent().endpoint_id for _ in range(300)]


def test_of_idle_members_the_quickest_is_taken() -> None:
    b = Bench(settings(), servers=8)
    quick = (5).to_bytes(6, "little")
    for _ in range(2):  # with the first answers the mean of the class is known, with the next each one's pace
        out = [b.sent() for _ in range(8)]
        assert len({send.endpoint_id for send in out}) == 8
        for send in out:
            b.answer(send, took=20 * MS if send.endpoint_id == quick else 60 * MS)
        b.tick()
    for _ in range(20):
        send = b.sent()
        assert send.endpoint_id == quick
        b.answer(send, took=20 * MS)


def test_a_slow_member_draws_less_and_unheard_count_as_the_mean() -> None:
    b = Bench(settings(), servers=8)
    slow = (1).to_bytes(6, "little")
    drawn = Counter[bytes]()
    for i in range(600):
        if i % 10 == 0:
            b.tick(0.25)
        send = b.sent()
        drawn[send.endpoint_id] += 1
        b.answer(send, took=300 * MS if send.endpoint_id == slow else 60 * MS)
    assert drawn[slow] < 600 / 8 / 2 and len(drawn) == 8


def test_at_most_half_the_subset_is_ejected() -> None:
    """If nearly all look bad the trouble is shared: shed, but do not eject."""
    b = Bench(settings(max_attempts=1), servers=subset.MIN_FREE_SUBSET_SIZE)
    for _ in range(300):
        b.now += 5 * MS
        action = b.ask()
        if isinstance(action, StartAttempt):
            b.answer(action, AttemptOutcome.CONNECT_FAILED, 3 * MS)
    assert isinstance(b.ask(), StartAttempt)
    assert len(b.balancer.subsets.local.members) >= subset.MIN_FREE_SUBSET_SIZE // 2


def test_a_busy_sidecar_that_wants_more_members_than_there_are_keeps_half_of_them_in() -> None:
    """Half of a wanted subset of ninety would let all eight out, and leave one with the whole load."""
    b = Bench(settings(max_attempts=1), servers=8)
    sends = [b.sent() for _ in range(60)]
    b.tick()
    assert b.balancer.subsets.target_size() > 2 * 8
    for send in sends:
        b.answer(send, AttemptOutcome.CONNECTION_RESET)
    assert sum(m.ejected_until_ns > b.now for m in b.balancer.membership.endpoints.values()) > 4
    b.balancer.subsets.select(b.now)
    assert len(b.balancer.subsets.local.members) == 4


def test_failures_eject_no_member_that_served_lately() -> None:
    b = Bench(settings(), servers=8)
    one = (1).to_bytes(6, "little")
    out = b.balancer.membership.endpoints[one]
    for _ in range(20):
        for outcome in (AttemptOutcome.SUCCESS, AttemptOutcome.CONNECTION_RESET):
            b.now += 10 * MS
            b.balancer.record_outcome(
                out, AttemptCompleted(0, 0, one, outcome, 10 * MS, False, ()), None, b.now
            )
        assert not out.ejected_until_ns
    for _ in range(
        outlier_detection.FAILURES_TO_EJECT
    ):  # in part it fails often, at hundreds of requests a second
        b.balancer.record_outcome(
            out,
            AttemptCompleted(0, 0, one, AttemptOutcome.SERVER_ERROR, MS, False, ()),
            None,
            b.now,
        )
    assert not out.ejected_until_ns
    for _ in range(outlier_detection.FAILURES_TO_EJECT):
        b.now += outlier_detection.SUCCESS_PROTECTION_NS
        b.balancer.record_outcome(
            out,
            AttemptCompleted(0, 0, one, AttemptOutcome.CONNECTION_RESET, MS, False, ()),
            None,
            b.now,
        )
    assert out.ejected_until_ns > b.now
    b.now += HOUR_NS
    out.ejected_until_ns = out.consecutive_failures = 0  # silent since: a break is all that is known of it
    b.balancer.record_outcome(
        out,
        AttemptCompleted(0, 0, one, AttemptOutcome.CONNECTION_RESET, MS, False, ()),
        None,
        b.now,
    )
    assert out.ejected_until_ns > b.now


def test_where_many_connections_break_one_broken_ejects_nobody() -> None:
    """Where a third came up late, half of all members were out for it, and the others choked on the load."""

    def row(usual: bool) -> int:
        """How many in a row eject a member that served a second ago."""
        b = Bench(settings(request_class(late_answer_value=0.5), max_attempts=1), servers=8)
        for turn in range(400):
            b.now += 20 * MS
            broke = usual and turn % 3 == 0
            b.answer(
                b.sent(),
                AttemptOutcome.CONNECT_FAILED if broke else AttemptOutcome.SUCCESS,
                15 * MS,
            )
        [member] = [m for m in b.balancer.membership.endpoints.values() if m.id == (1).to_bytes(6, "little")]
        member.ejection_count = member.ejected_until_ns = member.consecutive_failures = 0
        member.last_success_ns, b.now = b.now, b.now + SECOND
        lost = AttemptCompleted(0, 0, member.id, AttemptOutcome.CONNECT_FAILED, 150 * MS, False, ())
        for count in range(1, 9):
            b.balancer.record_outcome(member, lost, None, b.now)
            if member.ejected_until_ns > b.now:
                return count
        return 0

    assert row(usual=False) == 1
    assert row(usual=True) == outlier_detection.FAILURES_TO_EJECT


def test_a_member_that_turns_all_away_goes_out_and_is_no_sign_of_load() -> None:
    """It drains before the list says so: its quick answers drew more, and raised the cut."""
    b = Bench(settings(), servers=8)
    one = (1).to_bytes(6, "little")
    drains = b.balancer.membership.endpoints[one]
    turned_away = AttemptCompleted(0, 0, one, AttemptOutcome.REJECTED, MS, False, ())
    b.now += SECOND
    for _ in range(outlier_detection.REJECTIONS_TO_EJECT):
        assert not drains.ejected_until_ns
        b.balancer.record_outcome(drains, turned_away, None, b.now)
    assert drains.ejected_until_ns > b.now
    send = b.sent()
    b.balancer.record_outcome(drains, turned_away, b.balancer.requests[send.request_id], b.now)
    assert sum(e.sample_count for e in b.balancer.overload.evidence) == 0


def test_a_member_that_fails_quickly_does_not_draw_what_the_busy_ones_have_no_room_for() -> None:
    """It is the only idle one: at hundreds of requests a second all others always hold some."""
    b = Bench(settings(), servers=4)
    bad = b.balancer.membership.endpoints[(1).to_bytes(6, "little")]
    for _ in range(8):
        b.answer(b.sent())
    bad.failure_rate, bad.last_answer_ns, b.balancer.overload.latency.means_ns = 0.6, b.now, [50 * MS]
    drawn = Counter(b.sent().endpoint_id for _ in range(12))
    assert drawn[bad.id] <= 1, drawn


def test_what_can_not_be_tried_again_keeps_away_from_members_that_fail_in_part() -> None:
    unsafe = request_class(idempotency=Idempotency.NOT_IDEMPOTENT)
    b = Bench(settings(request_class(), unsafe), servers=4)
    one = b.balancer.membership.endpoints[(1).to_bytes(6, "little")]
    one.failure_rate, one.last_answer_ns = 0.3, b.now
    assert b.balancer.picker.expected_time_ns(one, 1, b.now) > 3 * b.balancer.picker.expected_time_ns(
        one, 0, b.now
    )


def test_nothing_new_goes_to_a_draining_or_gone_endpoint() -> None:
    b = Bench(settings(), servers=2)
    one, two = (n.to_bytes(6, "little") for n in (1, 2))
    b.give(EndpointUpdate(EndpointUpdateKind.DELTA, (endpoint(1, EndpointHealth.DRAINING),)))
    assert {b.sent().endpoint_id for _ in range(20)} == {two}
    b.list_of(endpoint(1), kind=EndpointUpdateKind.SNAPSHOT)  # two is missing from a complete list: gone
    assert {b.sent().endpoint_id for _ in range(20)} == {one}
    b.list_of(kind=EndpointUpdateKind.SNAPSHOT)
    assert isinstance(b.ask(), RejectRequest)


def test_a_silent_member_goes_out_and_a_probe_brings_it_back() -> None:
    b = Bench(settings(health_checks_enabled=True, gossip_enabled=True, instance_count=2), servers=4)
    silent = b.balancer.membership.endpoints[(1).to_bytes(6, "little")]
    silent.in_flight, silent.unanswered_since_ns = outlier_detection.MIN_SILENT_IN_FLIGHT, b.now
    b.tick()
    assert silent.ejected_until_ns <= b.now
    b.tick(SILENCE_NS / SECOND)
    assert silent.ejected_until_ns > b.now
    probed: list[Action] = []
    while not probed:
        b.balancer.subsets.select(b.now)
        assert silent not in b.balancer.subsets.local.members
        probed = [a for a in b.tick(0.1) if isinstance(a, StartHealthCheck)]
    assert probed == [StartHealthCheck(silent.id)]
    b.give(HealthCheckCompleted(silent.id, AttemptOutcome.TIMEOUT, 500 * MS, ()))
    assert silent.ejected_until_ns > b.now + outlier_detection.MIN_EJECTION_NS
    while not [a for a in b.tick(0.1) if isinstance(a, StartHealthCheck)]:
        pass
    b.give(HealthCheckCompleted(silent.id, AttemptOutcome.SUCCESS, 5 * MS, ()))
    b.balancer.subsets.select(b.now)
    assert silent in b.balancer.subsets.local.members


def test_waits_at_a_member_that_is_out_shed_nothing() -> None:
    b = Bench(settings(), servers=4)
    for _ in range(20):
        b.answer(b.sent())
    b.tick()
    send, other = b.sent(), b.sent()
    b.balancer.membership.endpoints[send.endpoint_id].ejected_until_ns = b.now + 9 * SECOND
    b.now += SECOND
    b.balancer.end_cycle(b.now)
    assert (
        not b.balancer.requests[send.request_id].recorded_delay
        and b.balancer.requests[other.request_id].recorded_delay
    )


def test_a_gone_member_is_forgotten_with_its_last_attempt() -> None:
    b = Bench(settings(), servers=2)
    sends = [b.sent() for _ in range(4)]
    b.list_of(kind=EndpointUpdateKind.SNAPSHOT)
    assert len(b.balancer.membership.endpoints) == 2
    for send in sends:
        b.answer(send)
    assert not b.balancer.membership.endpoints


def answered(b: Bench) -> bytes:
    """One request, answered at once where it is sent."""
    action = b.ask()
    if not isinstance(action, StartAttempt):
        return b""
    b.answer(action)
    return action.endpoint_id


def test_a_cold_endpoint_gets_its_warmth_of_what_a_warm_one_answers() -> None:
    """Many independent sidecars together must not push over an endpoint that has just started."""
    sent = Counter[bool]()
    for seed in range(100):
        b = Bench(settings(instance_index=seed, instance_count=100), servers=0, seed=seed)
        b.list_of(*(endpoint(n, started_at_ns=START - SECOND if n == 1 else 0) for n in range(1, 9)))
        for _ in range(40):
            sent[answered(b) == (1).to_bytes(6, "little")] += 1
    fair, warmth = 4000 / 8, 0.3 + 0.7 / 8
    assert 0 < sent[True] <= fair * warmth * 1.3


def test_with_no_warm_member_cold_ones_get_a_trickle() -> None:
    odd = Bench(settings(), servers=0)
    odd.list_of(endpoint(1, started_at_ns=START + 9 * SECOND))  # a start in the future: just started
    assert not answered(odd)  # and none at once, as all sidecars would
    sent = 0
    for _ in range(12):
        sent += bool(odd.tick(0.25) and answered(odd))
    assert sent == 3  # a request a second and a server, over all sidecars


def test_cold_members_earn_as_lately_where_the_warm_ones_choke() -> None:
    """By the answers of warm ones alone they stood idle as soon as a burst kept those from answering."""
    b = Bench(settings(), servers=8)
    for _ in range(40):
        for _ in range(8):
            answered(b)
        b.tick(0.25)
    b.list_of(*(endpoint(n, started_at_ns=b.now if n == 1 else 0) for n in range(1, 9)))
    cold = 0
    for turn in range(16):  # four seconds in which no warm one answers
        b.tick(0.25)
        for key in range(1, 21):  # of many users, so that the cut lets some pass
            if isinstance(send := b.ask(key=100 * turn + key), StartAttempt) and send.endpoint_id[0] == 1:
                cold += 1
                b.answer(send)
    warmth = 0.3 + 0.7 / 4  # on the mean of this time
    assert 3 <= cold <= 16 * warmth * 1.2


def test_nothing_is_saved_up_for_a_bulk_restart() -> None:
    """Credit of all sidecars, spent at once, pushed servers over that had just come back."""
    b = Bench(settings(), servers=8)
    for _ in range(100):
        answered(b)
    b.list_of(*(endpoint(n, started_at_ns=b.now if n < 5 else 0) for n in range(1, 9)))
    assert answered(b)[0] >= 5


def test_a_storm_that_is_not_answered_earns_cold_members_nothing() -> None:
    """A part of what is sent, in a storm of retries, was four times what cold servers could do."""
    b = Bench(settings(request_class(late_answer_value=0.5), max_attempts=1), servers=0)
    b.list_of(*(endpoint(n, started_at_ns=START - SECOND if n == 1 else 0) for n in range(1, 9)))
    for _ in range(400):
        if isinstance(send := b.ask(), StartAttempt):
            assert send.endpoint_id[0] != 1
            b.answer(send, AttemptOutcome.REJECTED, MS)


def test_a_restart_forgets_what_was_known() -> None:
    b = Bench(settings(), servers=1)
    member = next(iter(b.balancer.membership.endpoints.values()))
    b.answer(b.sent(), AttemptOutcome.SERVER_ERROR)
    assert member.failure_rate > 0
    b.give(EndpointUpdate(EndpointUpdateKind.DELTA, (endpoint(1, started_at_ns=b.now),)))
    assert member.failure_rate == 0 and not member.last_answer_ns


def test_zones_local_first_and_crossing_only_for_enough_worth() -> None:
    cheap, dear = request_class(priority_weight=1.0), request_class(priority_weight=9.0)
    b = Bench(settings(cheap, dear, zone_count=2, cross_zone_price=0.4), servers=0)
    b.list_of(*(endpoint(n, zone=n % 2) for n in range(1, 17)))
    assert all(b.sent(1).endpoint_id[0] % 2 == 0 for _ in range(8))
    b.balancer.overload.spillover_ratio = 1.0
    assert all(b.sent(1).endpoint_id[0] % 2 == 1 for _ in range(8))
    assert all(b.sent(0).endpoint_id[0] % 2 == 0 for _ in range(8))  # not worth its crossing


def test_far_members_that_hold_less_take_what_the_near_ones_would_queue() -> None:
    """Two near servers once held eighty requests, up to the connections they take, while seven idled."""
    b = Bench(settings(zone_count=2, cross_zone_price=0.016, connection_price=0.06), servers=0)
    b.list_of(*(endpoint(n, zone=int(n > 2)) for n in range(1, 10)))
    near = [b.sent().endpoint_id[0] <= 2 for _ in range(45)]
    assert all(near[:2])  # idle ones at home come first
    assert 8 <= sum(near) <= 12
    assert max(m.in_flight for m in b.balancer.membership.endpoints.values()) <= 6


def test_a_crossing_that_costs_much_waits_for_a_larger_difference() -> None:
    b = Bench(settings(zone_count=2, cross_zone_price=0.3), servers=0)
    b.list_of(*(endpoint(n, zone=int(n > 2)) for n in range(1, 10)))
    assert all(b.sent().endpoint_id[0] <= 2 for _ in range(6))
    assert not all(b.sent().endpoint_id[0] <= 2 for _ in range(6))


def test_discovery_is_asked_in_time_and_again_after_a_failure() -> None:
    b = Bench(settings(polls_discovery=True, discovery_poll_window_ns=10 * SECOND))
    asked: list[int] = []
    for _ in range(80):
        if any(isinstance(a, WatchEndpoints) for a in b.tick(0.25)):
            asked.append(b.now)
            b.give(EndpointUpdate(EndpointUpdateKind.DISCOVERY_FAILED, ()))
    gaps = [later - earlier for earlier, later in zip([START, *asked], asked, strict=False)]
    assert len(asked) >= 3 and max(gaps) < 10 * SECOND
    b.give(EndpointUpdate(EndpointUpdateKind.DELTA, ()))
    assert not any(isinstance(a, WatchEndpoints) for _ in range(60) for a in b.tick(0.25))


def test_first_subscriptions_are_spread() -> None:
    first = set()
    for seed in range(20):
        b = Bench(settings(polls_discovery=True), seed=seed)
        while not any(isinstance(a, WatchEndpoints) for a in b.tick(0.25)):
            pass
        first.add(b.now)
    assert len(first) > 5


def test_a_zone_that_the_settings_lack_ends_nothing() -> None:
    b = Bench(settings(), servers=0)
    b.list_of(endpoint(1, zone=9))
    b.answer(b.sent())


def test_the_subset_does_not_grow_in_overload() -> None:
    """Requests pile up then, and each new connection would only cost the servers more."""
    b = Bench(settings(connection_price=0.05), servers=40)
    b.answer(b.sent())
    b.balancer.overload.queueing_delay = 2.0
    for _ in range(20):
        b.ask()
    b.tick()
    b.balancer.subsets.select(b.now)
    assert len(b.balancer.subsets.local.members) == subset.MIN_SUBSET_SIZE


def test_a_cold_majority_gets_no_more_than_its_warmth_of_a_fair_part() -> None:
    """After a bulk restart most of a subset is cold; draws among the rest sent one six times too much."""
    sent = Counter[int]()
    for seed in range(100):
        b = Bench(
            settings(instance_index=seed, instance_count=100, cold_overload_multiple=2.5),
            servers=0,
            seed=seed,
        )
        b.list_of(*(endpoint(n, started_at_ns=START - SECOND if n <= 6 else 0) for n in range(1, 9)))
        for _ in range(12):
            sent[int.from_bytes(answered(b), "little")] += 1
    fair = 1200 * (0.3 + 0.7 / 8) / 2  # all goes to the two warm ones or by what they answer
    assert all(0 < sent[n] < fair for n in range(1, 7)), sent
    assert sent[0] == 0  # the warm ones take the rest


def test_a_cold_endpoint_gets_no_further_attempts() -> None:
    b = Bench(settings(request_class(late_answer_value=0.5)), servers=0)
    b.list_of(endpoint(1), *(endpoint(n, started_at_ns=START - 4 * SECOND) for n in range(2, 9)))
    for _ in range(40):
        if isinstance(send := b.ask(), StartAttempt) and send.endpoint_id[0] == 1:
            again = b.answer(send, AttemptOutcome.SERVER_ERROR, 5 * MS)
            assert not any(isinstance(a, StartAttempt) for a in again)


ASKING = dict(health_checks_enabled=True, zone_count=2, load_report_fields=("rif",))


def probes(actions: list[Action]) -> list[bytes]:
    return [a.endpoint_id for a in actions if isinstance(a, StartHealthCheck)]


def asking(left: int = 3 * SECOND, **changes: object) -> tuple[Bench, list[bytes]]:
    """A sidecar that has just taken request 1, and the members that it asked."""
    b = Bench(settings(request_class(late_answer_value=0.5), **(ASKING | changes)), servers=0)
    b.list_of(*(endpoint(n, zone=n % 2) for n in range(1, 17)))
    return b, probes(b.give(RequestReceived(1, 0, 0, 0, b.now + left, 0, False)))


def test_the_quickest_of_the_members_asked_gets_the_request() -> None:
    """Own requests in flight tell a sparse sidecar nothing: a busy server looks as idle as the others."""
    b, asked = asking()
    assert len(asked) == 2 and all(e[0] % 2 == 0 for e in asked)
    b.now += 5 * MS
    assert not any(
        isinstance(a, StartAttempt)
        for a in b.give(HealthCheckCompleted(asked[0], AttemptOutcome.SUCCESS, 9 * MS, ()))
    )
    [send] = b.give(HealthCheckCompleted(asked[1], AttemptOutcome.SUCCESS, 2 * MS, ()))
    assert isinstance(send, StartAttempt) and send.endpoint_id == asked[1]


def test_silent_members_get_nothing_and_others_are_asked() -> None:
    b, asked = asking()
    b.now += 20 * MS
    more = probes(b.give(TimerFired(2)))
    assert more and not set(more) & set(asked)
    assert {e[0] % 2 for e in more} == {0, 1}  # the other zone too, as nobody near is idle
    b.now += 5 * MS
    b.give(HealthCheckCompleted(more[0], AttemptOutcome.SUCCESS, 3 * MS, ()))
    [send] = b.give(TimerFired(2))
    assert isinstance(send, StartAttempt) and send.endpoint_id == more[0]


def test_asking_ends_and_the_request_is_sent_or_answered() -> None:
    b, _ = asking()
    for _ in range(8):
        b.now += 30 * MS
        if sends := [a for a in b.give(TimerFired(2)) if isinstance(a, StartAttempt)]:
            break
    assert sends and b.now - START <= 250 * MS
    late, _ = asking()
    late.now += 4 * SECOND  # a sidecar that stood still: its client has left
    [final] = late.give(TimerFired(2))
    assert isinstance(final, RejectRequest)


def test_nothing_is_held_that_a_stand_still_could_lose() -> None:
    """A sidecar that stood still for two seconds once held two requests unsent until their clients left."""
    b, asked = asking(left=2 * SECOND)
    assert not asked and isinstance(b.actions[0], StartAttempt)


def test_a_member_that_drains_while_asked_gets_nothing() -> None:
    b, asked = asking()
    b.give(
        EndpointUpdate(
            EndpointUpdateKind.DELTA,
            tuple(endpoint(e[0], EndpointHealth.DRAINING, zone=e[0] % 2) for e in asked),
        )
    )
    actions = [a for e in asked for a in b.give(HealthCheckCompleted(e, AttemptOutcome.SUCCESS, 2 * MS, ()))]
    actions += b.give(TimerFired(2))
    assert not any(isinstance(a, StartAttempt) and a.endpoint_id in asked for a in actions)


def test_members_that_hold_a_request_are_not_asked_and_the_one_that_holds_least_gets_it() -> None:
    """The quickest to answer of the near ones got it, whatever they held, with the far ones idle."""
    b, _ = asking()
    b.list_of(*(endpoint(n, zone=n % 2) for n in range(1, 5)))  # two near, two far
    b.balancer.overload.spillover_ratio = 0.0
    sends: list[StartAttempt] = []
    for rid in range(2, 12):
        actions = b.give(RequestReceived(rid, 0, 0, 0, b.now + 3 * SECOND, 0, False))
        while asked := probes(actions):
            b.now += 2 * MS
            actions = [
                a for e in asked for a in b.give(HealthCheckCompleted(e, AttemptOutcome.SUCCESS, 2 * MS, ()))
            ]
            actions += b.give(TimerFired(rid + 1))
        sends += [a for a in actions if isinstance(a, StartAttempt)]
    held = Counter(send.endpoint_id for send in sends)
    assert held.total() == 10 and len(held) == 4 and max(held.values()) <= 4, held


def test_nobody_is_asked_where_peers_share_or_probes_are_not_allowed() -> None:
    for changes in ({"gossip_enabled": True}, {"health_checks_enabled": False}, {"load_report_fields": ()}):
        assert asking(**changes)[1] == []


def test_traffic_crosses_by_the_difference_of_waits() -> None:
    """With one zone at ten requests a server and the other at one, half the fleet once choked."""
    b, _ = asking(cross_zone_price=0.1)
    b.balancer.overload.evidence = [
        QueueingEvidence(6.0, 10.0, 10.0, 10.0),
        QueueingEvidence(0.0, 10.0, 10.0, 10.0),
    ]
    b.balancer.adjust_load(b.now + SECOND)
    risen = b.balancer.overload.spillover_ratio
    assert 0 < risen < 0.5
    b.balancer.overload.evidence = [
        QueueingEvidence(1.0, 10.0, 10.0, 10.0),
        QueueingEvidence(3.0, 10.0, 10.0, 10.0),
    ]
    b.balancer.adjust_load(b.now + SECOND)
    assert b.balancer.overload.spillover_ratio < risen


def test_all_sidecars_take_the_same_few_members_for_a_warm_key() -> None:
    """A server that met a key does much less work for it; by sidecars' own subsets each met all keys."""
    met: dict[int, set[bytes]] = {7: set(), 8: set(), 9: set()}
    for seed in range(12):
        b = Bench(settings(key_affinity=True, instance_index=seed, instance_count=12), servers=40, seed=seed)
        for key, members in met.items():
            send = b.sent(key=key)
            members.add(send.endpoint_id)
            b.answer(send)
    assert all(len(members) <= subset.ENDPOINTS_PER_KEY for members in met.values())
    assert len(set.union(*met.values())) > subset.ENDPOINTS_PER_KEY


def test_of_hundreds_of_sidecars_each_keeps_to_its_share_of_what_servers_accept() -> None:
    """Keys and a grown subset took each to all servers: every table of connections was full."""
    b = Bench(settings(key_affinity=True, instance_count=100), servers=50)
    share = int(subset.INITIAL_FAN_IN * 50 / 100)
    met = {b.sent(key=key).endpoint_id for key in range(1, 200)}
    assert len(met) == share == len(b.balancer.subsets.connected)


def test_a_refused_connect_makes_the_share_smaller_for_a_while() -> None:
    b = Bench(settings(key_affinity=True, instance_count=100), servers=50)
    for _ in range(5):  # in one second: one full table refuses several
        b.answer(b.sent(), AttemptOutcome.CONNECT_FAILED, MS)
    assert b.balancer.subsets.fan_in == pytest.approx(subset.INITIAL_FAN_IN * subset.FAN_IN_DECREASE)
    for _ in range(20):
        b.now += SECOND
        b.answer(b.sent(), AttemptOutcome.CONNECT_FAILED, MS)
    assert b.balancer.subsets.fan_in == subset.MIN_FAN_IN
    for _ in range(10):
        b.tick(2)
    assert b.balancer.subsets.fan_in == pytest.approx(subset.MIN_FAN_IN + 10 * subset.FAN_IN_INCREASE)


def test_what_is_held_to_members_that_left_the_subset_is_closed() -> None:
    """Left after a burst, it stood in the tables of their servers until it had been idle for a minute."""
    b = Bench(settings(), servers=30)
    sends = [b.sent() for _ in range(60)]
    held = len(b.balancer.subsets.connected)
    for send in sends[1:]:
        b.answer(send)
    closed = []
    for _ in range(400):
        closed += [a.endpoint_id for a in b.tick(0.25) if isinstance(a, CloseIdleConnections)]
    assert held > 20 and len(b.balancer.subsets.connected) <= subset.MIN_FREE_SUBSET_SIZE + 2
    assert len(set(closed)) == len(closed) == held - len(b.balancer.subsets.connected)
    assert sends[0].endpoint_id not in closed  # its attempt is out


def test_a_started_stream_is_the_clients() -> None:
    """It has no deadline: it is no wait, and its break is not answered with another attempt."""
    b = Bench(settings(request_class(late_answer_value=0.5)), servers=8)
    send = b.sent()
    assert b.give(StreamStarted(send.request_id)) == []
    b.now += 30 * SECOND
    b.tick()
    assert b.balancer.admission.threshold == 0 and not b.balancer.requests
    assert (
        b.give(
            AttemptCompleted(
                send.request_id,
                0,
                send.endpoint_id,
                AttemptOutcome.CONNECTION_RESET,
                30 * SECOND,
                True,
                (),
            )
        )
        == []
    )
    assert b.balancer.subsets.in_flight == 0


def test_failed_connects_bring_traffic_home() -> None:
    """A zone that is cut off shows no waits: by their difference alone it would draw ever more."""
    b = Bench(settings(zone_count=2), servers=0)
    b.list_of(*(endpoint(n, zone=n % 2) for n in range(1, 17)))
    b.balancer.overload.spillover_ratio = 1.0
    for _ in range(10):
        if isinstance(send := b.ask(), StartAttempt) and send.endpoint_id[0] % 2:
            b.answer(send, AttemptOutcome.CONNECT_FAILED, MS)
            b.give(ClientDisconnected(send.request_id))
    assert b.balancer.overload.spillover_ratio < 0.6
