"""Every decision of balancer. Its interface (settings, events, actions) is balancer/policy_api.py.

The ordinary path of a request: the admission cut over (business, user) levels refuses it unsent or lets it
pass; a passed request goes to an idle member of a small subset. docs/design.md says where and why the code
departs from that. All times are integer nanoseconds of the clock that comes with each event.
"""

from __future__ import annotations

import random
from heapq import nsmallest
from math import log
from struct import Struct, pack, unpack_from

from balancer.policy.endpoint_state import ESTIMATE_HALF_LIFE_NS, EndpointState, freshness
from balancer.policy.hashing import mix64
from balancer.policy.request_state import LoadProbe, RequestState
from balancer.policy_api import (
    OUTCOMES_NEVER_EXECUTED,
    Action,
    AttemptCompleted,
    AttemptOutcome,
    CancelAttempt,
    ClientDisconnected,
    CloseIdleConnections,
    EndpointHealth,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    FailRequest,
    GossipReceived,
    HealthCheckCompleted,
    Idempotency,
    RejectRequest,
    RequestReceived,
    SendGossip,
    SetTimer,
    Settings,
    StartAttempt,
    Started,
    StartHealthCheck,
    StreamStarted,
    TimerFired,
    WatchEndpoints,
)
from balancer.time_units import HOUR_NS, SECOND_NS

USER_LEVELS = 128  # from the write-up

CYCLE = SECOND_NS // 4  # a quarter of the write-up's: bursts of 3 s are over before slower cycles shed
CYCLE_COUNT = 2000  # or this many sends, as in the write-up
CYCLE_MOST = 1.5 * SECOND_NS  # a cycle short of evidence waits this long for more
EVIDENCE = 3.0  # outcomes that a verdict needs, so that one late answer moves nobody
EVIDENCE_POOLED = 0.5  # the same where peers share: what is pooled is a mean over many sidecars
OVER_LEAST = 0.1  # mean wait, as a share of the class slack (aim less service), that counts as overload
OVER_SERVICES = 1.5  # and so many service times more: few cores queue that much at ordinary load
SERVICE_MOST = 0.25  # a service time is not taken for more of the slack: at a start in overload none is known
RISE, RISE_MOST = 0.05, 0.5  # a: share of passed traffic shed a cycle, at least and at most
DRAIN = 0.25  # send this much less than servers finish for a wait of the whole slack, so that queues empty
EASE, EASE_MOST = 0.005, 0.1  # b: share of arrivals let in again a cycle; grows with how calm it is
EASE_RAMP = 8  # and with how many cycles calm has lasted, to the most after so many
HISTOGRAM_KEEP = 0.9  # share of the histogram kept from cycle to cycle: sparse traffic needs some seconds
SHED_MOST = 0.9  # never shed all: with no sends there is no evidence
BASE_DRIFT = 1.0025  # the no-wait latency of a class may rise this much a cycle, to forget an old minimum
BASE_MOST = 0.5  # and is never taken for more than this share of the aim
BASE_GUESS = 0.25  # before any answer it counts as this share: a start in overload must show at once
HANDSHAKE = 0.25  # what a new connection may add to that: where all are new, at a start, it is no queue
LATENCY_KEEP = 0.95  # share of the class means' evidence kept from cycle to cycle: about 5 s worth
SUBSET_LEAST = 4  # members of an almost idle sidecar where connections are priced
SUBSET_FREE = 8  # and where they are not
SUBSET_GROWTH = 1.5  # further members for each request in flight, so that one is idle
SUBSET_CROWDED = 2  # requests a member, in flight, at which the subset grows at once
# The fan-in of a server: so many sidecars are taken to hold connections to it. A server accepts only so many
# (how many is told nowhere), and a full table takes work from it: learnt by additive increase and
# multiplicative decrease, from a number that any server holds.
FAN_IN, FAN_IN_LEAST = 16.0, 6.0
FAN_IN_GROWTH = 0.02  # a cycle: five a minute
FAN_IN_CUT = 0.8  # at a connect that is refused, once a second at most: one full table refuses several
SUBSET_SHRINK = 0.99  # the in-flight peak is forgotten this slowly a cycle, as connections cost
FAILS_TO_EJECT, FULL_TO_EJECT = 3, 8  # failures in a row that eject a member, and answers that it is full
# Connections that fail or break: up to this share of attempts is few; a row as unlikely as that is no chance.
BREAKS_FEW, BREAKS_CHANCE, BREAKS_SMOOTH = 0.08, 0.01, 0.03
PROVEN = SECOND_NS // 2  # a member that served so lately is not ejected
# Queues answer all the time: a second with none, and so many owed, is a machine that is silent.
SILENT_LEAST = 3
STUCK = 0.5  # share of the slack after which what is overtaken is stuck; in calm one answer in a hundred
HANGS, HANGS_SMOOTH = 0.5, 0.1  # share of the stuck that must come to nothing before any is given up
HANGS_TRIED = 0.9  # share of them that is: the others tell whether it still is so
HASTY = 2.0  # no-wait latencies of its class within which a time-out says nothing of the server
FAILS_USUAL = 0.3  # share of failures that says nothing yet of a member: a single one among answers
UNSAFE_FAILS = 4.0  # a failure weighs so much more for what can't be tried again
EJECT_FIRST, EJECT_MOST = 2 * SECOND_NS, 20 * SECOND_NS  # first time out of the subset, doubled each time
EJECT_SHARE = 0.5  # at most this share of a subset is out: beyond that the trouble is shared
RETRY_SHARE, RETRY_SAVED = 0.2, 10.0  # retry budget: share of sends, and how much of it may be saved up
SPILL_STEP = 0.025  # change of the chance to cross zones, a cycle, for a difference that counts as overload
STAY_AWAY = SECOND_NS  # advice to a refused client, where clients take any: some cycles
ASK_SPREAD = 0.4  # part of the time to ask in over which sidecars spread their first and further calls
ASK_MOST = 1.5 * SECOND_NS  # at most: a change counts as told 6 s after discovery had it and could be reached
ASK_LEAST = 0.25  # share of that which passes before a call that follows a failed one
POOL_KEEP = 0.6  # share of the pooled evidence kept from cycle to cycle: about a second's worth
POOL_KEEP_MOST = 0.85  # where it is thin, some seconds' worth
EVIDENCE_FULL = 8.0  # outcomes in the pool from which it is thick enough for the shorter memory
PEERS = 1  # peers told each cycle
PEER_MIX = 0.25  # weight of a peer's cut, so that the fleet holds one cut and sheds smoothly
RATE_SMOOTH = 0.06  # weight of a cycle in the rate of answers: its memory is about 4 s
RATE_KEEP = 0.98  # share of its best that is kept from cycle to cycle: about 12 s
SETTLED = 4  # cycles after which a sidecar's own cut is worth telling
HEAD = Struct("<Bf")  # of a message: zone and cut (-1: none yet); then what is pooled, as half floats
TOLD_MOST = 60_000.0  # the largest number told: a half float holds no more, and a larger one would be a fault
WAITS, SEEN, SENT, DONE = range(4)  # places in the evidence of a zone
KEY_MEMBERS = 2  # members that share a warm key: with one alone a popular key would swamp it
ASK = 2  # members asked at once whether they are idle: the second choice brings most of the gain
ASK_TICKS = 3  # turns, beyond the way there and back, after which an idle member would have answered
STILL_MOST = (
    2.2 * SECOND_NS
)  # held unsent while a sidecar stands still, a request is lost: longer is unheard of
ASK_STEPS = 4  # rounds of asking before one is sent blindly: a tenth of a second, short of any usual aim
TICK = 0  # the token of the one timer


class Balancer:
    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.classes = settings.classes
        rng = random.Random(seed)
        self.rand, self.sample, self.choices = rng.random, rng.sample, rng.choices
        self.salt = mix64(settings.instance_index)  # the subset outlives a restart
        self.out: list[Action] = []
        self.pending: dict[int, RequestState] = {}
        self.handlers = {
            Started: self.on_attached,
            EndpointUpdate: self.on_list,
            RequestReceived: self.on_request,
            AttemptCompleted: self.on_completed,
            ClientDisconnected: self.on_gone,
            TimerFired: self.on_timer,
            StreamStarted: self.on_gone,
            GossipReceived: self.on_peer,
            HealthCheckCompleted: self.on_probed,
        }
        # list and drains
        self.members: dict[bytes, EndpointState] = {}
        self.subscribed = not settings.polls_discovery
        self.ask_at = 0
        self.ask_spread = min(ASK_MOST, ASK_SPREAD * settings.discovery_poll_window_ns)
        # subset
        self.order: list[list[EndpointState]] = [[], []]  # ready endpoints by rank: of this zone, of others
        self.subset: list[list[EndpointState]] = [[], []]
        self.warm, self.gain = [0, 0], [0.0, 0.0]  # warm members of each, and the credit for an answer of one
        self.credit = [0.0, 0.0]  # sends to cold members, earned by answers of warm ones or by the time
        self.answers, self.rate = [0, 0], [0.0, 0.0]  # of warm members this cycle; of one of them, smoothed
        self.best = [0.0, 0.0]  # the best that this rate was lately
        self.peak, self.flying = 0.0, 0
        self.linked: dict[bytes, EndpointState] = {}  # members that hold connections of ours
        self.fan_in, self.fan_in_cut_at = FAN_IN, -HOUR_NS
        self.dirty = True
        self.asking: dict[bytes, list[int]] = {}  # requests that wait for a probe's answer
        # Where sidecars share what they see, and so shed in time, asking costs more than it brings. Where no
        # server reports its load, a probe may be answered beside the queue: the quickest is then the nearest.
        self.asks = (
            settings.health_checks_enabled
            and not settings.gossip_enabled
            and bool(settings.load_report_fields)
        )
        self.hop = [0, 0]  # the quickest answer to a probe, in this zone and from others
        # health
        self.latency = [[0.0, 0.0] for _ in self.classes]  # summed over the aim, and count; shared with peers
        self.mean = [0.0] * len(self.classes)  # mean latency over some seconds
        self.base = [0.0] * len(self.classes)  # latency without wait: the mean's slowly rising minimum
        self.crossing = 0.0
        # cut
        worths = {c.priority_weight for c in self.classes}
        ranks = {worth: i for i, worth in enumerate(sorted(worths))}
        self.business = [ranks[c.priority_weight] for c in self.classes]
        self.top = len(ranks) * USER_LEVELS
        self.cut = 0.0
        self.histogram: dict[int, float] = {}
        self.spread = [0.0] * len(ranks)  # arrivals without keys, by business level; shared with peers
        # Evidence by the zone of the servers, shared with peers: waits over slack, how many, sends, answers.
        self.evidence = [[0.0] * 4 for _ in range(settings.zone_count)]
        self.sends = self.cycles = self.calm = 0
        self.went = [0.0, 0.0]  # this sidecar's own sends and those that crossed; kept as evidence is
        self.breaks = 0.0  # share of the attempts that broke or found no connection, of members that are in
        self.hangs = 0.0  # share of the attempts that were stuck which came to nothing
        self.pressure, self.over = 0.0, OVER_LEAST + OVER_SERVICES * SERVICE_MOST
        self.cycle_from = 0
        self.worth_mean = sum(c.priority_weight for c in self.classes) / len(self.classes)
        self.budget = 1.0
        self.try_left = [0] * len(self.classes)  # the longest that a first try has been given

    def handle(self, now: int, event: Event) -> list[Action]:
        """Take one event and return the actions that answer it."""
        handler = self.handlers.get(type(event))
        if handler:
            handler(now, event)  # type: ignore[operator]
        out, self.out = self.out, []
        return out

    # ---- list and drains ----------------------------------------------------------------------------------

    def on_attached(self, now: int, event: Started) -> None:
        self.cycle_from = now
        self.ask_at = now + int(self.rand() * self.ask_spread)
        self.out.append(SetTimer(1 + int(self.rand() * CYCLE), TICK))

    def on_list(self, now: int, event: EndpointUpdate) -> None:
        if event.kind == EndpointUpdateKind.DISCOVERY_FAILED:
            self.subscribed = not self.settings.polls_discovery
            self.ask_at = now + int((ASK_LEAST + (1 - ASK_LEAST) * self.rand()) * self.ask_spread)
            return
        self.subscribed |= event.kind != EndpointUpdateKind.CACHED
        named = set()
        for entry in event.endpoints:
            named.add(entry.id)  # a list that fits the settings badly ends nothing:
            entry = entry._replace(zone=min(entry.zone, self.settings.zone_count - 1))
            member = self.members.get(entry.id)
            if member is None:
                self.members[entry.id] = EndpointState.from_entry(entry, self.salt, len(self.classes))
            else:
                member.update(entry)
        if event.kind != EndpointUpdateKind.DELTA:
            for member in self.members.values():
                if member.id not in named:
                    member.health = EndpointHealth.REMOVED
        self.members = {
            k: m for k, m in self.members.items() if m.health != EndpointHealth.REMOVED or m.in_flight
        }
        self.rank()

    def subscribe(self, now: int) -> None:
        if not self.subscribed and now >= self.ask_at:
            self.out.append(WatchEndpoints(True))
            self.ask_at = now + self.settings.discovery_poll_window_ns // 2  # should no reply come at all

    # ---- subset and choice --------------------------------------------------------------------------------

    def rank(self) -> None:
        """Weighted rendezvous: each sidecar ranks endpoints by its own hash, so list changes move little."""
        ready = [m for m in self.members.values() if m.health == EndpointHealth.READY]
        ready.sort(key=lambda m: (-log((m.rank_hash + 1) / 2**64) / m.weight, m.id))
        zone = self.settings.local_zone
        self.order = [[m for m in ready if m.zone == zone], [m for m in ready if m.zone != zone]]
        self.dirty = True

    def share(self) -> int:
        """How many members of a side may hold connections of ours: our share of what all servers accept."""
        sides = sum(map(bool, self.order)) or 1
        return int(self.fan_in * sum(map(len, self.order)) / self.settings.instance_count / sides)

    def size(self) -> int:
        """How many members a subset has: more as requests pile up, within our share of connections.

        Harmless in one sidecar, a few more in each of hundreds filled the tables of all servers.
        """
        priced = self.settings.connection_price + self.settings.handshake_price > 0
        least = SUBSET_LEAST if priced else SUBSET_FREE
        return max(least, min(least + int(SUBSET_GROWTH * self.peak), self.share()))

    def refill(self, now: int) -> None:
        self.dirty = False
        size = self.size()
        for side in (0, 1):
            subset: list[EndpointState] = []
            out, filled = 0, 0.0
            # A busy sidecar wants more members than there are: the share is of those that there are.
            out_most = EJECT_SHARE * min(size, len(self.order[side]))
            for member in self.order[side]:
                if filled >= size:
                    break
                if member.ejected_until_ns > now and out + 1 <= out_most:
                    out += 1
                else:
                    subset.append(member)
                    filled += self.warmth(member, now)  # a cold member fills a part of a place
            self.subset[side] = subset
            self.warm[side] = warm = sum(self.warmth(m, now) >= 1 for m in subset)
            self.gain[side] = (filled - warm) / max(1, warm)
            if warm == len(subset):
                self.credit[side] = 0.0  # nothing saved up: a bulk restart would get it all at once

    def reach(self, side: int) -> list[EndpointState]:
        """The members that warm keys are taken from."""
        return self.order[side][: max(self.share(), len(self.subset[side]))]

    def trickle(self, now: int) -> None:
        """Credit by the time, for what the answers of warm members earn less than they did lately.

        So all sidecars together send a cold member its warmth of what a server did; with none warm, and no
        such rate, a request a second of all. By answers alone cold members stood idle when they were needed:
        where the warm ones choke on a burst, are silent, or are none, as servers came back together.
        """
        for side in (0, 1):
            warm = [m for m in self.subset[side] if self.warmth(m, now) >= 1]
            owing = [m for m in warm if m.in_flight]
            if warm and not (owing and all(m.is_silent(now) for m in owing)):
                lately = self.answers[side] / len(warm)
                self.rate[side] += RATE_SMOOTH * (lately - self.rate[side])
            self.best[side] = max(self.rate[side], self.best[side] * RATE_KEEP)
            if self.subset[side]:
                cold = sum(self.warmth(m, now) for m in self.subset[side]) - len(warm)
                least = (
                    0.0 if warm else len(self.order[side]) / self.settings.instance_count * CYCLE / SECOND_NS
                )
                missed = max(self.best[side] * cold, least) - self.answers[side] * self.gain[side]
                if missed > 0:
                    self.credit[side] = min(max(1.0, missed), self.credit[side] + missed)
            self.answers[side] = 0

    def trim(self) -> None:
        """Close what is held to members that get nothing any more: kept, it would fill their tables."""
        kept = {m.id for subset in self.subset for m in subset}
        if self.settings.key_affinity:
            kept.update(m.id for side in (0, 1) for m in self.reach(side))
        for member in [m for m in self.linked.values() if m.id not in kept and not m.in_flight]:
            del self.linked[member.id]
            member.connection_count = 0
            if member.health == EndpointHealth.READY:  # else the network code has closed it
                self.out.append(CloseIdleConnections(member.id))

    def warmth(self, member: EndpointState, now: int) -> float:
        """The share of its work that an endpoint can do at least, by the time since its start."""
        age, least, span = (
            now - member.started_at_ns,
            self.settings.slow_start_capacity,
            self.settings.slow_start_duration_ns,
        )
        return 1.0 if not member.started_at_ns or age >= span else least + (1 - least) * max(age, 0) / span

    def expected(self, member: EndpointState, cls: int, now: int) -> float:
        """Expected time of a request there, a failure counted as the whole aim; old news fade to the mean."""
        if not member.last_answer_ns:
            return self.mean[cls]
        fade = freshness(member.last_answer_ns, now)
        fails = member.expected_failure_rate(cls, now)
        return self.mean[cls] * (1 + (member.latency_ratio - 1) * fade) + fails * self.failure(cls)

    def idle(self, side: int, request: RequestState, now: int) -> list[EndpointState]:
        """The warm members that may have the request: those with none of ours in flight, else all.

        Where keys are warm on servers that met them, sidecars take for a key the first few in an order that
        all share, of those within reach. Of all there are, hundreds of sidecars filled each server's table. A
        repeat that is bound to a group may go further, as few of it are near. Harm: a very popular key crowds
        its members.
        """
        cls, key = self.classes[request.class_index], request.key_hash if self.settings.key_affinity else 0
        within = request.executed_on if cls.idempotency == Idempotency.IDEMPOTENCY_KEY else None
        asked = request.probe.endpoints if request.probe else ()
        members = [
            m
            for m in (self.order[side] if within else self.reach(side) if key else self.subset[side])
            if m is not request.endpoint
            and m not in asked
            and self.warmth(m, now) >= 1
            and (within is None or m.drops_duplicates_of(within, cls.deduplication_scope))
            and (not (key or within) or m.ejected_until_ns <= now)
        ]
        if key:
            members = nsmallest(KEY_MEMBERS, members, key=lambda m: mix64(m.affinity_hash ^ key))
        return [
            m
            for m in members
            if not m.in_flight and m.expected_failure_rate(request.class_index, now) <= FAILS_USUAL
        ] or members

    def pick(self, side: int, request: RequestState, now: int) -> EndpointState | None:
        """An idle member of the subset, the quickest by what is known of it; else the least busy.

        Our own requests in flight are known exactly, so all are compared: of a few draws all are often slow,
        and slow members then hold several times what quick ones do.
        """
        members = self.idle(side, request, now)
        if not members:
            return None
        return min(
            members,
            key=lambda m: (
                self.load(m, request.class_index, now),
                self.expected(m, request.class_index, now),
            ),
        )

    def less_busy(
        self, near: EndpointState | None, far: EndpointState | None, cls: int, now: int
    ) -> EndpointState | None:
        """A member of another zone where it holds so much less that the price of crossing is worth it.

        The share that crosses by the waits moves slowly: at a start, or where few servers are near, it left
        far ones idle while the near ones filled up and the cut shed. What is in flight shows that at once.
        """
        if near is None or far is None:
            return near or far
        margin = self.settings.cross_zone_price / OVER_LEAST
        return far if self.load(far, cls, now) + margin < self.load(near, cls, now) else near

    def load(self, member: EndpointState, cls: int, now: int) -> float:
        """What a member holds, and more where it fails far beyond the ordinary.

        One that fails quickly holds little and would draw the most. Its pace is left to break ties: it varies
        more from answer to answer than from member to member.
        """
        excess = max(0.0, member.expected_failure_rate(cls, now) - FAILS_USUAL)
        return member.in_flight + excess * self.failure(cls) / (
            self.mean[cls] or self.classes[cls].latency_objective_ns
        )

    def failure(self, cls: int) -> float:
        """The time that a failure counts as."""
        return self.classes[cls].latency_objective_ns * (
            UNSAFE_FAILS if self.classes[cls].idempotency == Idempotency.NOT_IDEMPOTENT else 1.0
        )

    def cold(self, side: int, now: int) -> EndpointState | None:
        """How much may a cold endpoint get? What a warm one answers us, times its warmth, as credit.

        All sidecars together then send it no more than that part of what a server can do, whoever else is
        busy, out or cold. A part of what is sent would be far too much once many restart, or in a storm of
        retries. Only first attempts: further ones come in bursts. With no warm member there is a trickle.

        It may hold its warmth of what a warm one holds, and one request at least. One alone, whatever the
        others hold, leaves cold servers idle beside full ones, and the cut sheds what they could serve: after
        a bulk restart, in a burst, or where a few sidecars send hundreds of requests a second. Harm: where
        the warm ones hold much, a cold one that has just fallen silent keeps that many until it is ejected.
        """
        if self.credit[side] < 1:
            return None
        members = [(m, self.warmth(m, now)) for m in self.subset[side]]
        held = [m.in_flight for m, warmth in members if warmth >= 1]
        fair = sum(held) / max(1, len(held))
        cold = [(m, warmth) for m, warmth in members if warmth < 1 and m.in_flight < max(1.0, warmth * fair)]
        if not cold:
            return None
        [(member, _)] = self.choices(cold, weights=[warmth for _, warmth in cold])
        self.credit[side] -= 1
        return member

    def earned(self, request: RequestState, now: int) -> EndpointState | None:
        """A cold member for what the cut would refuse: it has earned it, and the queues are at the others.

        Harm: a cold member in use by others as well may be at its limit, and serve this one late.
        """
        if self.dirty:
            self.refill(now)
        return self.cold(0, now) or (self.cold(1, now) if self.may_cross(request.class_index) else None)

    def may_cross(self, cls: int) -> bool:
        """A crossing is worth its price only for requests worth more than it."""
        return (
            bool(self.subset[1])
            and self.classes[cls].priority_weight > self.settings.cross_zone_price * self.worth_mean
        )

    def ask(self, request: RequestState, now: int) -> bool:
        """Ask a few idle members by probe whether they are; the quickest to answer gets the request.

        Of many sidecars with a request a second each, nearly all members are idle to each: that says nothing
        of their load, and a silent or slow one shows only after it has kept a request. Only where there is
        time left for the longest stand-still of this sidecar, as a request held then would be lost. Harmful
        where probes are dear or answered beside the queue: they tell little, and the choice is random.
        """
        if self.dirty:
            self.refill(now)
        probe = request.probe or LoadProbe()
        if probe.rounds >= ASK_STEPS or request.expires_at_ns - now < STILL_MOST:
            return False
        far = self.may_cross(request.class_index) and (probe.rounds > 0 or self.rand() < self.crossing)
        if not probe.rounds and (cold := self.cold(int(far), now)):
            self.launch(request, cold, now)
            return True
        for side in (0, 1) if far and probe.rounds else (int(far),):
            # What holds a request of ours is known to be busy, and a probe may be answered beside its queue:
            # asked all the same, two near servers filled up and the cut shed, with the far ones idle.
            members = [m for m in self.idle(side, request, now) if not m.in_flight]
            drawn = self.sample(members, min(2 * ASK, len(members)))
            for member in sorted(drawn, key=lambda m: self.expected(m, request.class_index, now))[:ASK]:
                if member.id not in self.asking:
                    self.asking[member.id] = []
                    self.out.append(StartHealthCheck(member.id))
                self.asking[member.id].append(request.id)
                probe.endpoints.append(member)
                probe.unanswered += 1
        if not probe.endpoints:
            return False
        request.probe = probe
        probe.rounds += 1
        wait = ASK_TICKS * self.settings.scheduling_tick_ns + self.hop[far]
        self.out.append(SetTimer(wait, request.id + 1))
        return True

    def on_probed(self, now: int, event: HealthCheckCompleted) -> None:
        waiting = self.asking.pop(event.endpoint_id, ())
        member = self.members.get(event.endpoint_id)
        if member is None:
            return
        far, ok = member.zone != self.settings.local_zone, event.outcome == AttemptOutcome.SUCCESS
        if member.health_check_pending:
            self.readmit(member, ok, now)
        if ok:
            self.hop[far] = min(self.hop[far] or event.duration_ns, event.duration_ns)
        for rid in waiting:
            request = self.pending.get(rid)
            if request is None or request.attempt_count or request.probe is None:
                continue
            probe = request.probe
            probe.unanswered -= 1
            if ok and probe.fastest is None:  # what else answers in this turn is compared with it
                self.out.append(SetTimer(1, rid + 1))
            if (
                ok
                and event.duration_ns - self.hop[far]
                < probe.fastest_duration_ns - self.hop[probe.fastest_is_remote]
            ):
                probe.fastest, probe.fastest_duration_ns, probe.fastest_is_remote = (
                    member,
                    event.duration_ns,
                    far,
                )
            if not probe.unanswered and probe.fastest is not None:
                self.decide(request, now)

    def decide(self, request: RequestState, now: int) -> None:
        """Send a request for which members were asked, or ask on."""
        if now >= request.expires_at_ns:
            self.finish(request, now)
        elif request.probe and request.probe.fastest and request.probe.fastest.health == EndpointHealth.READY:
            self.launch(request, request.probe.fastest, now)
        elif not self.ask(request, now):
            self.send(request, now)

    # ---- endpoint health ----------------------------------------------------------------------------------

    def learn(
        self, member: EndpointState, event: AttemptCompleted, request: RequestState | None, now: int
    ) -> None:
        outcome = event.outcome
        if outcome in (AttemptOutcome.CANCELLED, AttemptOutcome.NOT_SENT, AttemptOutcome.CLIENT_ERROR):
            self.evidence[member.zone][SENT] -= 1
            if outcome == AttemptOutcome.CLIENT_ERROR:
                member.unanswered_since_ns = now  # it answers; the fault is the request's
            return
        if outcome == AttemptOutcome.CONNECT_FAILED and now - self.fan_in_cut_at >= SECOND_NS:
            self.fan_in, self.fan_in_cut_at = max(FAN_IN_LEAST, self.fan_in * FAN_IN_CUT), now
        broken = outcome in (AttemptOutcome.CONNECT_FAILED, AttemptOutcome.CONNECTION_RESET)
        if member.ejected_until_ns <= now:
            self.breaks += BREAKS_SMOOTH * (broken - self.breaks)
        failed = outcome != AttemptOutcome.SUCCESS
        if outcome == AttemptOutcome.TIMEOUT and self.hasty(request, event.duration_ns):
            self.evidence[member.zone][SENT] -= 1
            return  # the client had no time for any server's answer
        if request is not None:
            self.learn_class(member, request, failed, now)
            if outcome == AttemptOutcome.TIMEOUT and self.overtaken(request):
                self.evidence[member.zone][SENT] -= 1
                return  # it serves: the failure is the request's, or its class's
            drains = (
                outcome in (AttemptOutcome.REJECTED, AttemptOutcome.TIMEOUT) and member.ejected_until_ns > now
            )  # no sign of load
            self.measure(
                member, event.duration_ns, AttemptOutcome.SERVER_ERROR if drains else outcome, request
            )
        member.record_outcome(failed, now)
        if not failed:
            side = member.zone != self.settings.local_zone
            if self.warmth(member, now) >= 1:
                self.answers[side] += 1
                self.credit[side] = min(1.0, self.credit[side] + self.gain[side])
            return
        # One that errs answers: passed over while others hold less (`load`), it is there once they are full.
        if member.ejected_until_ns > now or outcome == AttemptOutcome.SERVER_ERROR:
            return
        # Of hundreds of requests a second some break, or fail three times in a row, at endpoints that are
        # well or fail in part: out for that, they would leave their load to the few that remain.
        if broken:
            # Where few break, or of one that has long been silent, one says enough; else what is no chance.
            many = self.breaks > BREAKS_FEW and now - member.last_success_ns < ESTIMATE_HALF_LIFE_NS
            row = min(FAILS_TO_EJECT, round(log(BREAKS_CHANCE) / log(self.breaks))) if many else 1
        else:  # one that turns all away for long drains, and the list has not said so yet
            row = FULL_TO_EJECT if outcome == AttemptOutcome.REJECTED else FAILS_TO_EJECT
        if now - member.last_success_ns > PROVEN and member.consecutive_failures >= row:
            self.eject(member, now)

    def give_up(self, request: RequestState, now: int) -> None:
        """Call off an attempt that is stuck, where a further one may still be in time.

        Only in calm: in overload a call stops nothing at an endpoint, and its work goes on beside the next
        attempt's. And only where most that were stuck came to nothing: elsewhere they are long by nature, and
        their work would be lost. Covers requests, connections and classes that hang while their endpoint
        serves. Harm: some long ones run twice, within the budget of further attempts.
        """
        calm = self.settings.attempts_can_be_cancelled and self.pressure <= self.over / 2
        if self.hangs < HANGS or self.rand() > HANGS_TRIED:
            return
        safe = self.classes[request.class_index].idempotency == Idempotency.IDEMPOTENT
        if calm and safe and self.worth_resending(request, AttemptOutcome.CANCELLED, now):
            self.out.append(CancelAttempt(request.id, request.attempt_count - 1))

    def learn_class(self, member: EndpointState, request: RequestState, failed: bool, now: int) -> None:
        """What becomes of the class there. A request that is stuck has been taken for failed already."""
        cls = request.class_index
        if not failed:
            member.newest_served_ns = max(member.newest_served_ns, request.attempt_started_at_ns)
        if request.is_hung:
            self.hangs += HANGS_SMOOTH * (failed - self.hangs)
        if not (failed and request.is_hung):
            member.record_class_outcome(cls, failed, now)
        request.is_hung = False

    def overtaken(self, request: RequestState) -> bool:
        """Whether its member has served what was sent a cycle later: then no queue keeps it.

        Where that is not looked at, one class that hangs at some endpoints sheds all others: its waits count
        as overload. Also covers requests of endless work. Harm: where endpoints take many at a time, the
        longest are overtaken in overload too, and only the shorter ones show it.
        """
        return (
            request.endpoint is not None
            and request.endpoint.newest_served_ns > request.attempt_started_at_ns + CYCLE
        )

    def hasty(self, request: RequestState | None, took: int) -> bool:
        """Whether a client gave it less time than answers of its class, or of any, may take with no queue.

        Counted like other time-outs, clients in a hurry ejected sound members and shed everybody else.
        """
        usual = [
            base or cls.latency_objective_ns * BASE_GUESS
            for base, cls in zip(self.base, self.classes, strict=True)
        ]
        return took < HASTY * (usual[request.class_index] if request is not None else min(usual))

    def eject(self, member: EndpointState, now: int) -> None:
        away = min(EJECT_FIRST << min(member.ejection_count, 8), EJECT_MOST)
        member.ejected_until_ns = now + int(away * (0.75 + self.rand() / 2))
        member.ejection_count += 1
        self.dirty = True

    def examine(self, now: int) -> None:
        """Let silent members go out, and ask those that may come back by a probe before a request does."""
        for member in self.members.values():
            if member.health != EndpointHealth.READY:
                continue
            if member.ejected_until_ns <= now:
                if member.in_flight >= SILENT_LEAST and member.is_silent(now):
                    self.eject(member, now)
            elif (
                self.settings.health_checks_enabled
                and member.ejected_until_ns <= now + CYCLE
                and not member.health_check_pending
            ):
                member.health_check_pending = True
                member.ejected_until_ns = now + 2 * SECOND_NS  # at the latest; the answer decides
                self.out.append(StartHealthCheck(member.id))

    def readmit(self, member: EndpointState, ok: bool, now: int) -> None:
        member.health_check_pending = False
        if ok:
            member.ejected_until_ns, member.consecutive_failures, member.unanswered_since_ns, self.dirty = (
                now,
                0,
                now,
                True,
            )
        elif member.ejected_until_ns > now:
            self.eject(member, now)

    def measure(
        self, member: EndpointState, took: int, outcome: AttemptOutcome, request: RequestState
    ) -> None:
        """Put an outcome into the class means, the endpoint's pace and this cycle's evidence of waiting."""
        cls = request.class_index
        aim = self.classes[cls].latency_objective_ns
        if outcome in (AttemptOutcome.TIMEOUT, AttemptOutcome.REJECTED):
            wait = 1.0
        elif outcome != AttemptOutcome.SUCCESS:
            # A dead or erring endpoint says nothing of load: it must not shed what the others can serve.
            self.evidence[member.zone][SENT] -= 1
            if outcome == AttemptOutcome.CONNECT_FAILED and member.zone != self.settings.local_zone:
                self.crossing *= 1 - SPILL_STEP * 4  # a zone cut off shows no waits, and would draw ever more
            return
        else:
            self.latency[cls][0] += took / aim
            self.latency[cls][1] += 1
            pace = took / (self.mean[cls] or took)
            member.record_latency_ratio(pace)
            wait = min(2.0, self.wait(request, took))
        self.witness(member, request, wait)
        self.evidence[member.zone][DONE] += outcome == AttemptOutcome.SUCCESS

    def wait(self, request: RequestState, took: int) -> float:
        """What an attempt has waited, as a share of the class slack.

        Without the part for the connection, three first answers of a start shed half of all for some seconds.
        """
        aim = self.classes[request.class_index].latency_objective_ns
        base = self.base[request.class_index] or aim * BASE_GUESS
        return (took - base - request.needs_connection * HANDSHAKE * aim) / (aim - base)

    def witness(self, member: EndpointState, request: RequestState, wait: float) -> None:
        """Add what is new of an attempt's wait to the evidence."""
        evidence = self.evidence[member.zone]
        evidence[WAITS] += wait - request.recorded_delay
        evidence[SEEN] += not request.recorded_delay
        request.recorded_delay = wait

    # ---- admission cut ------------------------------------------------------------------------------------

    def level(self, event: RequestReceived, now: int) -> tuple[int, float]:
        """The request's level (business x 128 + user), and its place within the level for a smooth cut."""
        business = self.business[event.class_index]
        salt = mix64(now // HOUR_NS)
        if event.key_hash:
            level = business * USER_LEVELS + mix64(event.key_hash ^ salt) % USER_LEVELS
            self.histogram[level] = self.histogram.get(level, 0.0) + 1
            return level, 0.5
        # Of keyless requests one sidecar sees few user levels: the fleet's mass counts as even over all. A
        # tenant is hashed with the sidecar's number: by itself it would put much traffic on one level.
        self.spread[business] += 1
        place = mix64(self.settings.instance_index ^ mix64(event.tenant_index ^ salt))
        return business * USER_LEVELS + place % USER_LEVELS, (place >> 7) / 2**57

    def segments(self) -> list[tuple[int, int, float]]:
        """Arrivals as (first level, levels, mass), by level and with no overlap: the cut moves over them in
        turn, and would shed or let in too much where two lie beside each other."""
        levels = dict(self.histogram)
        keyed = {level // USER_LEVELS for level in levels}
        parts = []
        for business, mass in enumerate(self.spread):
            first = business * USER_LEVELS
            if business not in keyed:
                parts.append((first, USER_LEVELS, mass))
            elif mass:
                for level in range(first, first + USER_LEVELS):
                    levels[level] = levels.get(level, 0.0) + mass / USER_LEVELS
        return sorted(parts + [(level, 1, mass) for level, mass in levels.items()])

    def raise_cut(self, share: float) -> None:
        """Climb until the share of what passed is shed."""
        parts = self.segments()
        total = sum(mass for _, _, mass in parts)
        passed = sum(mass * min(1.0, max(0.0, (at + width - self.cut) / width)) for at, width, mass in parts)
        target = min(share * passed, passed - (1 - SHED_MOST) * total)
        for at, width, mass in parts:
            low = max(self.cut, at)
            left = mass * (at + width - low) / width
            if left <= 1e-9:
                continue
            if left >= target:
                self.cut = low + max(0.0, target) * width / mass
                return
            target -= left
            self.cut = float(at + width)

    def ease_cut(self, share: float) -> None:
        """Descend until the share is let in again, at least one level.

        The share is of what arrived, not of what passed: after a deep cut little passes, and a share of that
        would keep the cut up for minutes over servers long idle.
        """
        parts = self.segments()
        target = share * sum(mass for _, _, mass in parts)
        low = max(0.0, self.cut - 1)
        for at, width, mass in reversed(parts):
            high = min(self.cut, at + width)
            left = mass * (high - at) / width
            if left <= 1e-9:
                continue
            if left >= target:
                self.cut = min(low, high - target * width / mass)
                return
            target -= left
            self.cut = float(at)
        self.cut = 0.0

    def on_timer(self, now: int, event: TimerFired) -> None:
        if event.token != TICK:
            request = self.pending.get(event.token - 1)
            if request is not None and not request.attempt_count:
                self.decide(request, now)
            return
        self.out.append(SetTimer(CYCLE, TICK))
        self.peak *= SUBSET_SHRINK
        if self.pressure <= self.over:  # in overload requests pile up: new connections would cost more yet
            self.peak = max(self.flying, self.peak)
        self.refill(now)
        self.trickle(now)
        self.trim()
        self.examine(now)
        self.subscribe(now)
        self.cycle(now)

    def cycle(self, now: int) -> None:
        # A wait is evidence while it lasts: queues that build at once show before their first late answer.
        for request in self.pending.values():
            member = request.endpoint
            if member and member.ejected_until_ns <= now:  # one that is out says nothing of the others' load
                wait = min(1.0, self.wait(request, now - request.attempt_started_at_ns))
                if wait <= self.over:
                    continue
                if not self.overtaken(request):
                    if wait > request.recorded_delay:
                        self.witness(member, request, wait)
                elif wait >= STUCK and not request.is_hung:
                    self.learn_class(member, request, True, now)
                    request.is_hung = True
                    self.give_up(request, now)
        enough = EVIDENCE_POOLED if self.settings.gossip_enabled else EVIDENCE
        seen = sum(e[SEEN] for e in self.evidence)
        if self.sends and seen < enough and now - self.cycle_from < CYCLE_MOST:
            self.tell()
            return
        self.steer(now)
        self.fan_in += FAN_IN_GROWTH
        self.histogram = {lv: mass * HISTOGRAM_KEEP for lv, mass in self.histogram.items() if mass > 0.02}
        self.spread = [mass * HISTOGRAM_KEEP for mass in self.spread]
        for i, (total, count) in enumerate(self.latency):
            if count >= enough:
                aim = self.classes[i].latency_objective_ns
                self.mean[i] = mean = total / count * aim
                # A mean over few answers strays low, and its minimum with it: hence pooled, over seconds.
                self.base[i] = min(mean, self.base[i] * BASE_DRIFT or mean, aim * BASE_MOST)
            self.latency[i] = [total * LATENCY_KEEP, count * LATENCY_KEEP]
        shares = [b / (c.latency_objective_ns - b) for b, c in zip(self.base, self.classes, strict=True) if b]
        if shares:
            self.over = OVER_LEAST + OVER_SERVICES * min(SERVICE_MOST, sum(shares) / len(shares))
        keep = min(POOL_KEEP_MOST, max(POOL_KEEP, 1 - seen / EVIDENCE_FULL))
        self.evidence = [[x * keep for x in e] for e in self.evidence]
        self.went = [x * keep for x in self.went]
        self.tell()
        self.sends, self.cycle_from = 0, now
        self.cycles += 1

    def view(self, own: bool) -> tuple[float, float]:
        """Of the servers of this zone or of the others: mean wait over slack, and answers for each send."""
        zone = self.settings.local_zone
        parts = [e for z, e in enumerate(self.evidence) if (z == zone) == own]
        waits, seen, sent, done = (sum(e[i] for e in parts) for i in range(4))
        return (waits / seen if seen > 0.5 else 0.0), (done / sent if sent > 0.5 else 1.0)

    def steer(self, now: int) -> None:
        """Move the cut, and before it the share that crosses zones where that has a price."""
        (local, rate), (remote, rate_far) = self.view(True), self.view(False)
        # By where the sends went: by the chance to cross alone, what spills to far servers waited unseen.
        went = self.went[1] / self.went[0] if self.went[0] > 0.5 else 0.0
        self.pressure = local + (remote - local) * went
        rate += (rate_far - rate) * went
        # Where other zones wait less, traffic crosses before any is shed: the more the waits differ, beyond
        # what a price is worth, and home as they even out. By the time passed, as sparse cycles are long.
        if self.order[1]:
            ahead = max(-0.5, min(2.0, (local - remote - self.settings.cross_zone_price) / self.over))
            step = SPILL_STEP * (now - self.cycle_from) / CYCLE * ahead
            self.crossing = min(1.0, max(0.0, self.crossing + step))
        if self.pressure > self.over:
            # Servers in arrears finish what they can do: sending that, less a part to drain their queues, is
            # enough. Late answers to sends from before the last rise must not raise the cut again and again.
            fitting = rate * (1 - DRAIN * min(2.0, self.pressure))
            if fitting < 1 - RISE:
                share = min(RISE_MOST, 1 - fitting)
                self.raise_cut(share)
                self.calm = 0
                for evidence in self.evidence:  # count the sends as if the new cut had held for them
                    evidence[SENT] *= 1 - share
        elif self.cut > 0:
            # Spells that feed on load end only at rest, so the first steps are small; lasting calm is room.
            self.calm = min(self.calm + 1, EASE_RAMP)
            calm = (1 - max(0.0, self.pressure) / self.over) * self.calm / EASE_RAMP
            self.ease_cut(EASE + (EASE_MOST - EASE) * calm)

    def pooled(self) -> list[list[float]]:
        """What peers share, in the order of their messages."""
        return [*self.evidence, self.spread, *self.latency]

    def tell(self) -> None:
        """Give equal parts of the evidence to a few peers: the fleet's mean forms within some cycles.

        A sidecar with a request a second has no view of its own in time; without peers it waits for one.
        """
        settings = self.settings
        if not settings.gossip_enabled or settings.instance_count < 2:
            return
        for row in self.pooled():
            row[:] = [min(x / (1 + PEERS), TOLD_MOST) for x in row]
        told = [x for row in self.pooled() for x in row]
        body = HEAD.pack(settings.local_zone, self.cut if self.cycles >= SETTLED else -1.0)
        body += pack(f"<{len(told)}e", *told)
        for _ in range(PEERS):
            peer = int(self.rand() * (settings.instance_count - 1))
            self.out.append(SendGossip(peer + (peer >= settings.instance_index), body))

    def on_peer(self, now: int, event: GossipReceived) -> None:
        body, rows = event.payload, self.pooled()
        count = sum(map(len, rows))
        if len(body) != HEAD.size + 2 * count:
            return
        zone, cut = HEAD.unpack_from(body)
        told = iter(unpack_from(f"<{count}e", body, HEAD.size))
        heard = [[next(told) for _ in row] for row in rows]
        zones = len(self.evidence)
        if not (all(abs(e[WAITS]) <= 2.01 * e[SEEN] for e in heard[:zones]) and -1 <= cut <= self.top):
            return  # not something that a peer of this version says
        if not all(0 <= x <= TOLD_MOST for i, row in enumerate(heard) for x in row[i < zones :]):
            return
        for row, more in zip(rows, heard, strict=True):
            row[:] = [x + y for x, y in zip(row, more, strict=True)]
        if zone == self.settings.local_zone and cut >= 0:  # a restarted sidecar takes up the fleet's cut
            self.cut += (PEER_MIX if self.cycles >= SETTLED else 1.0) * (cut - self.cut)
            self.cycles = max(self.cycles, SETTLED)

    # ---- attempts and final answers -----------------------------------------------------------------------

    def on_request(self, now: int, event: RequestReceived) -> None:
        level, place = self.level(event, now)
        request = RequestState(
            event.request_id,
            event.class_index,
            self.classes[event.class_index],
            event.key_hash,
            now,
            event.expires_at_ns,
        )
        self.worth_mean += 0.01 * (self.classes[event.class_index].priority_weight - self.worth_mean)
        self.pending[event.request_id] = request
        if event.expires_at_ns <= now or self.useless(event, now):
            self.finish(request, now)
        elif level + place < self.cut:
            if (cold := self.earned(request, now)) is not None:
                self.launch(request, cold, now)
            else:
                self.finish(request, now)
        else:
            self.budget = min(RETRY_SAVED, self.budget + RETRY_SHARE)
            if not self.asks or not self.ask(request, now):
                self.send(request, now)

    def useless(self, event: RequestReceived, now: int) -> bool:
        """Whether this repeat came so late, by the time left of the one deadline, that no answer earns."""
        cls, left = self.classes[event.class_index], event.expires_at_ns - now
        if not event.is_retry:
            self.try_left[event.class_index] = max(self.try_left[event.class_index], left)
            return False
        return (
            not cls.late_answer_value
            and left < self.try_left[event.class_index]
            and cls.client_timeout_ns - left >= cls.latency_objective_ns
        )

    def send(self, request: RequestState, now: int) -> None:
        if self.dirty:
            self.refill(now)
        far = self.may_cross(request.class_index)
        side = int(far and (not self.subset[0] or self.rand() < self.crossing))
        first = not request.attempt_count and not request.probe
        member = (self.cold(side, now) if first else None) or self.pick(side, request, now)
        if far and not side:
            member = self.less_busy(member, self.pick(1, request, now), request.class_index, now)
        if member is not None:
            self.launch(request, member, now)
        else:
            self.finish(request, now)

    def launch(self, request: RequestState, member: EndpointState, now: int) -> None:
        request.endpoint, request.attempt_started_at_ns = member, now
        request.recorded_delay, request.is_hung = 0.0, False  # a further attempt waits anew
        request.attempt_count += 1
        if not member.in_flight:
            member.unanswered_since_ns = now
        member.in_flight += 1
        if connects := member.in_flight > member.connection_count * self.settings.streams_per_connection:
            member.connection_count += 1
            self.linked[member.id] = member
        request.needs_connection = connects
        self.flying += 1
        self.sends += 1
        self.crowd()
        self.evidence[member.zone][SENT] += 1
        self.went[0] += 1
        self.went[1] += member.zone != self.settings.local_zone
        latest = 0  # a connection may come up late, and repeats are dropped for so long only
        if (
            request.executed_on is not None
            and self.classes[request.class_index].idempotency == Idempotency.IDEMPOTENCY_KEY
        ):
            latest = request.executed_at_ns + self.classes[request.class_index].deduplication_window_ns
        self.out.append(StartAttempt(request.id, member.id, self.patience(request, now), latest))
        if self.sends % CYCLE_COUNT == 0:
            self.cycle(now)

    def crowd(self) -> None:
        """Grow the subset at once for a burst, as at a start: by the next cycle a few would hold it all."""
        members = len(self.subset[0]) + len(self.subset[1])
        if self.flying > max(self.peak, SUBSET_CROWDED * members) and self.pressure <= self.over:
            self.peak, self.dirty = self.flying, True

    def patience(self, request: RequestState, now: int) -> int:
        """How long to wait for this attempt; 0: until the client gives up."""
        cls = self.classes[request.class_index]
        left = request.arrived_at_ns + cls.latency_objective_ns - now
        # Members that were asked and still answer late have a queue, built of what they hold beyond the aim.
        brief = not cls.late_answer_value or (self.asks and self.pressure > self.over / 2)
        if brief and 0 < left < request.expires_at_ns - now:
            return left
        return 0

    def on_completed(self, now: int, event: AttemptCompleted) -> None:
        request = self.pending.get(event.request_id)
        member = self.members.get(event.endpoint_id)
        if member is not None and member.in_flight:
            member.in_flight -= 1
            self.flying -= 1
            self.learn(member, event, request, now)
            if member.health == EndpointHealth.REMOVED and not member.in_flight:
                del self.members[member.id]
        if request is None or event.request_finished:
            self.pending.pop(event.request_id, None)
            return
        if request.executed_on is None and event.outcome not in OUTCOMES_NEVER_EXECUTED:
            request.executed_on, request.executed_at_ns = request.endpoint, request.attempt_started_at_ns
        # One that is wrong fails anywhere: six servers refused each, and seemed to fail.
        hopeless = event.outcome in (AttemptOutcome.NOT_SENT, AttemptOutcome.CLIENT_ERROR)
        if not hopeless and self.worth_resending(request, event.outcome, now):
            self.budget -= 1
            self.send(request, now)
        else:
            self.finish(request, now)

    def worth_resending(self, request: RequestState, outcome: AttemptOutcome, now: int) -> bool:
        cls = self.classes[request.class_index]
        if (
            request.attempt_count >= self.settings.max_attempts
            or self.budget < 1
            or now >= request.expires_at_ns
        ):
            return False
        repeatable = (
            cls.idempotency == Idempotency.IDEMPOTENCY_KEY
            and now < request.executed_at_ns + cls.deduplication_window_ns
        )
        if request.executed_on is not None and cls.idempotency != Idempotency.IDEMPOTENT and not repeatable:
            return False
        if outcome != AttemptOutcome.CONNECT_FAILED and self.pressure > self.over:
            return False  # never into overload
        useful = (
            request.expires_at_ns
            if cls.late_answer_value
            else min(request.arrived_at_ns + cls.latency_objective_ns, request.expires_at_ns)
        )
        return now + self.base[request.class_index] < useful

    def finish(self, request: RequestState, now: int) -> None:
        """The final answer: declined where a repeat is harmless, else failed."""
        del self.pending[request.id]
        cls = self.classes[request.class_index]
        if request.executed_on is None or cls.idempotency == Idempotency.IDEMPOTENT:
            # Once no answer can count, the advice is to stay away for the rest of the client's time.
            late = not cls.late_answer_value and now >= request.arrived_at_ns + cls.latency_objective_ns
            advice = min(cls.client_timeout_ns if late else STAY_AWAY, self.settings.max_retry_after_ns)
            self.out.append(RejectRequest(request.id, advice))
        else:
            self.out.append(FailRequest(request.id))

    def on_gone(self, now: int, event: ClientDisconnected | StreamStarted) -> None:
        """The client left, or a stream started: that is the client's, has no deadline and is never resent."""
        self.pending.pop(event.request_id, None)
