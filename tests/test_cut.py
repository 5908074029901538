"""The admission cut: levels, the histogram's steps, and the evidence that moves it."""

from __future__ import annotations

import pytest

from balancer.gossip_codec import QueueingEvidence
from balancer.policy import admission, overload
from balancer.policy.hashing import mix64
from balancer.policy_api import (
    AttemptOutcome,
    ClientDisconnected,
    GossipReceived,
    RejectRequest,
    RequestReceived,
    SendGossip,
    StartAttempt,
    Tenant,
)
from balancer.time_units import HOUR_NS
from tests.helpers import MS, SECOND, Bench, endpoint, request_class, settings

LOW, HIGH = request_class(priority_weight=1.0), request_class(priority_weight=5.0)


def bench(**changes: object) -> Bench:
    return Bench(settings(LOW, HIGH, **changes))


def feed(b: Bench, cls: int, count: int, key: int = 0) -> None:
    for i in range(count):
        action = b.ask(cls, key=key and key + i)
        if isinstance(action, StartAttempt):
            b.answer(action)


def test_mix_is_the_same_in_every_process() -> None:
    assert mix64(1) == 0x910A2DEC89025CC1  # splitmix64's first output for seed 1, as published


def test_business_beats_user_level_and_ties_go_to_the_user_level() -> None:
    b = bench()
    level, place = divmod(b.balancer.admission.classify(RequestReceived(1, 0, 0, 7, 0, 0, False), b.now), 1)
    b.balancer.admission.threshold = float(level + 1)  # just above this key's level: refused
    assert isinstance(b.ask(0, key=7), RejectRequest)
    b.balancer.admission.threshold = float(level)
    assert isinstance(b.ask(0, key=7), StartAttempt)
    b.balancer.admission.threshold = float(
        admission.USER_LEVELS
    )  # all of the low business level: the high one still passes
    assert isinstance(b.ask(0, key=7), RejectRequest) and isinstance(b.ask(1, key=7), StartAttempt)
    assert 0 <= level < admission.USER_LEVELS and place == 0.5


def test_the_salt_changes_with_the_hour_and_is_alike_everywhere() -> None:
    one, other = bench(instance_index=1, instance_count=9), bench(instance_index=2, instance_count=9)
    ask = [RequestReceived(1, 0, 0, key, 0, 0, False) for key in range(1, 40)]
    now = [int(one.balancer.admission.classify(r, b.now)) for b in (one, other) for r in ask]
    assert now[:39] == now[39:]
    assert now[:39] != [int(one.balancer.admission.classify(r, one.now + HOUR_NS)) for r in ask]


def test_rise_sheds_the_share_by_the_histogram_of_keys() -> None:
    b = bench()
    feed(b, 0, 400, key=1000)
    b.balancer.admission.raise_threshold(0.25)
    refused = sum(isinstance(b.ask(0, key=1000 + i), RejectRequest) for i in range(400))
    assert 80 <= refused <= 120


def test_with_and_without_keys_in_one_class_the_cut_sheds_the_share_and_no_more() -> None:
    """Both lie over the same levels: taken one after the other, a quarter to shed came to half."""
    b = bench()
    feed(b, 0, 400, key=1000)
    feed(b, 0, 400)
    b.balancer.admission.raise_threshold(0.25)
    assert b.balancer.admission.threshold == pytest.approx(0.25 * admission.USER_LEVELS, abs=4)
    for _ in range(50):
        b.balancer.admission.raise_threshold(0.5)
    assert b.balancer.admission.threshold == pytest.approx(admission.MAX_SHED * admission.USER_LEVELS, abs=4)
    b.balancer.admission.lower_threshold(0.4)
    assert b.balancer.admission.threshold == pytest.approx(0.5 * admission.USER_LEVELS, abs=5)


def test_rise_takes_the_low_worth_first() -> None:
    b = bench()
    feed(b, 0, 50)
    feed(b, 1, 50)
    b.balancer.admission.raise_threshold(0.5)
    assert b.balancer.admission.threshold == pytest.approx(admission.USER_LEVELS, abs=1)


def test_the_cut_never_sheds_all() -> None:
    b = bench()
    feed(b, 1, 50)
    for _ in range(50):
        b.balancer.admission.raise_threshold(0.5)
    assert (
        b.balancer.admission.threshold
        <= 2 * admission.USER_LEVELS - (1 - admission.MAX_SHED) * admission.USER_LEVELS + 1
    )


def test_easing_is_a_share_of_arrivals_and_at_least_one_level() -> None:
    """A share of what still passes would keep a deep cut up for minutes."""
    b = bench()
    feed(b, 0, 100)
    b.balancer.admission.threshold = 120.0
    b.balancer.admission.lower_threshold(0.1)
    assert b.balancer.admission.threshold == pytest.approx(120 - 12.8)
    b.balancer.admission.lower_threshold(0.0)
    assert b.balancer.admission.threshold == pytest.approx(120 - 12.8 - 1)


def test_a_cycle_without_sends_descends() -> None:
    b = bench()
    b.balancer.admission.threshold = 50.0
    b.tick()
    assert b.balancer.admission.threshold < 50


def test_a_fleet_of_single_user_sidecars_sheds_smoothly() -> None:
    """Without keys a sidecar has one user level; tenants must not put a third of the fleet on one level."""
    for tenants in ((), tuple(Tenant(n, 100.0) for n in "abc")):
        passed = []
        for cut in (0, 32, 64, 96, 128):
            count = 0
            for i in range(200):
                b = Bench(settings(instance_index=i, instance_count=200, tenants=tenants), servers=2)
                b.balancer.admission.threshold = float(cut)
                count += isinstance(b.ask(tenant=i % 3 if tenants else 0), StartAttempt)
            passed.append(count)
        assert passed[0] == 200 and passed[4] == 0
        assert [abs(passed[i] - 200 * (4 - i) / 4) < 25 for i in range(5)] == [True] * 5, passed


def overloaded(b: Bench, outcome: AttemptOutcome, count: int = 30) -> None:
    feed(b, 0, 10)
    b.tick()
    sends = [b.sent() for _ in range(count)]
    for send in sends:
        b.answer(send, outcome, took=400 * MS)
    b.tick()


def test_time_outs_and_full_raise_the_cut() -> None:
    for outcome in (AttemptOutcome.TIMEOUT, AttemptOutcome.REJECTED):
        b = bench()
        overloaded(b, outcome)
        assert b.balancer.admission.threshold > 0, outcome


def test_dead_or_erring_endpoints_are_no_evidence_of_load() -> None:
    """With a fifth of the servers dead, failed connects once shed most of what the others could serve."""
    for outcome in (
        AttemptOutcome.CONNECT_FAILED,
        AttemptOutcome.CONNECTION_RESET,
        AttemptOutcome.SERVER_ERROR,
    ):
        b = bench(max_attempts=1)
        overloaded(b, outcome)
        assert b.balancer.admission.threshold == 0, outcome


def test_time_outs_of_clients_in_a_hurry_are_no_evidence_and_eject_nobody() -> None:
    """Tries of 30 ms, where answers take as long with no queue, once shed half of all other requests."""
    for left, gone in ((False, False), (False, True), (True, False)):
        b = bench(max_attempts=1)
        feed(b, 0, 40)
        b.tick()
        took = 400 * MS if left else int(b.balancer.overload.latency.baselines_ns[0])
        b.now += SECOND  # past any proof that the members serve
        sends = [b.sent(left=took) for _ in range(60)]
        for send in sends:
            if gone:  # its client has left before
                b.give(ClientDisconnected(send.request_id))
            b.answer(send, AttemptOutcome.TIMEOUT, took=took)
        out = [m for m in b.balancer.membership.endpoints.values() if m.ejected_until_ns > b.now]
        b.tick()
        if left:  # with time enough they are what they seem
            assert b.balancer.admission.threshold > 0 and out
        else:
            assert b.balancer.admission.threshold == 0 and not out
            assert all(m.failure_rate == 0 for m in b.balancer.membership.endpoints.values())


def test_one_late_answer_moves_nobody() -> None:
    b = bench()
    feed(b, 0, 20)
    for _ in range(30):
        b.tick()
    b.answer(b.sent(), took=3 * SECOND)
    b.tick()
    assert b.balancer.admission.threshold == 0


def test_a_wait_is_evidence_while_it_lasts() -> None:
    """A queue that builds at once must show before its first late answer."""
    b = bench()
    feed(b, 0, 20)
    b.tick()
    for _ in range(20):
        b.sent()
    for _ in range(2):
        b.tick(0.25)
    assert (
        b.balancer.overload.queueing_delay > b.balancer.overload.threshold
        and b.balancer.admission.threshold > 0
    )


def test_what_a_new_connection_takes_is_no_queue() -> None:
    """At a start all connections are new: the first answers over them once shed half for some seconds."""
    for streams in (1, 100):
        b = bench(streams_per_connection=streams)
        first = [b.sent() for _ in range(18)]
        pending = b.balancer.requests
        assert sum(pending[send.request_id].needs_connection for send in first) == (18 if streams == 1 else 6)
        for send in first[:6]:
            b.answer(send, took=350 * MS)
        b.tick(0.3)
        assert b.balancer.admission.threshold == 0
    used = bench()
    for send in [used.sent() for _ in range(18)]:
        used.answer(send, took=100 * MS)
    for _ in range(9):
        used.tick()
    again = [used.sent() for _ in range(18)]
    assert not any(used.balancer.requests[send.request_id].needs_connection for send in again)
    for send in again:
        used.answer(send, took=450 * MS)
    used.tick()
    assert used.balancer.admission.threshold > 0


def test_a_start_in_overload_shows_at_once_all_the_same() -> None:
    b = bench()
    for send in [b.sent() for _ in range(18)]:
        b.answer(send, took=600 * MS)
    b.tick()
    assert b.balancer.admission.threshold > 0


def test_waits_count_by_where_the_sends_went() -> None:
    """Far servers once held thirty requests each and nothing was shed: they did not count."""
    for far, cut in ((30, True), (0, False)):
        b = Bench(settings(zone_count=2), servers=0)
        b.list_of(*(endpoint(n, zone=int(n > 2)) for n in range(1, 10)))
        for _ in range(40):
            b.sent()
        b.balancer.overload.attempts, b.balancer.overload.remote_attempts = 40.0, float(far)
        b.balancer.overload.evidence = [
            QueueingEvidence(1.0, 10.0, 10.0, 10.0),
            QueueingEvidence(30.0, 30.0, 30.0, 10.0),
        ]
        b.balancer.overload.spillover_ratio = 0.0
        b.balancer.adjust_load(b.now)
        assert (b.balancer.admission.threshold > 0) is cut
    spilled = Bench(settings(zone_count=2), servers=0)
    spilled.list_of(*(endpoint(n, zone=int(n > 2)) for n in range(1, 10)))
    sends = [spilled.sent() for _ in range(45)]
    went = spilled.balancer.overload
    assert [went.attempts, went.remote_attempts] == [45, sum(send.endpoint_id[0] > 2 for send in sends)]


def test_answers_that_outrun_sends_do_not_raise_the_cut_again() -> None:
    """While queues drain, answers to old sends are late; each once raised the cut further."""
    b = bench()
    b.balancer.overload.evidence[0] = QueueingEvidence(20.0, 20.0, 10.0, 20.0)
    b.balancer.admission.keyless_arrivals[0] = 100.0
    b.balancer.adjust_load(b.now)
    assert b.balancer.admission.threshold == 0
    b.balancer.overload.evidence[0] = QueueingEvidence(20.0, 20.0, 20.0, 10.0)
    b.balancer.adjust_load(b.now)
    assert b.balancer.admission.threshold > 0


def test_peers_share_evidence_and_a_restarted_sidecar_takes_up_the_cut() -> None:
    old = bench(gossip_enabled=True, instance_count=2, instance_index=0)
    new = bench(gossip_enabled=True, instance_count=2, instance_index=1)
    for _ in range(5):
        old.tick()
    feed(old, 0, 10)
    old.balancer.admission.threshold = 77.0
    [tell] = [a for a in old.tick(0.01) if isinstance(a, SendGossip)]
    assert tell.recipient_index == 1 and len(tell.payload) <= 256
    new.give(GossipReceived(0, tell.payload))
    assert new.balancer.admission.threshold == pytest.approx(old.balancer.admission.threshold)
    assert new.balancer.overload.evidence[0].sample_count > 0


@pytest.mark.parametrize("body", [b"", b"x" * 5, b"\xff" * 256, bytes(range(200))])
def test_peer_bytes_of_any_content_are_passed_over(body: bytes) -> None:
    b = bench(gossip_enabled=True, instance_count=2)
    b.give(GossipReceived(1, body))
    size = b.balancer.gossip.codec.message_bytes
    b.give(GossipReceived(1, (body * 50)[:size].ljust(size, b"\xff")))
    assert 0 <= b.balancer.admission.threshold < 1 and all(
        abs(x) < 1e6 for x in b.balancer.overload.evidence[0].values()
    )
    assert isinstance(b.ask(), StartAttempt)


def test_a_repeat_that_is_provably_too_late_is_refused() -> None:
    """Its answer could earn nothing, and it would take work from requests that still count."""
    b = bench()
    b.answer(b.sent(left=1500 * MS))
    late = RequestReceived(
        900, 0, 0, 0, b.now + 1000 * MS, 0, True
    )  # a second of two has gone; the aim is half
    assert isinstance(b.give(late)[0], RejectRequest)
    first = RequestReceived(901, 0, 0, 0, b.now + 1000 * MS, 0, False)
    assert isinstance(b.give(first)[0], StartAttempt)


def test_a_cycle_ends_by_count_as_well_as_by_time() -> None:
    b = bench()
    for _ in range(overload.MAX_ATTEMPTS_PER_CYCLE - 1):
        b.answer(b.sent())
    assert b.balancer.gossip.cycle_count == 0
    b.answer(b.sent())
    assert b.balancer.gossip.cycle_count == 1
