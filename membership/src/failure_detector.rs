//! Failure detection: probe rounds, indirect probes through other members, and this member's local health.

use crate::event::Action;
use crate::member::{MemberState, Nanos};
use crate::member_table::MemberTable;
use crate::membership::Membership;
use crate::message::{MemberClaim, MessageBody};
use std::net::SocketAddr;

/// The worst local health.
const MAX_LOCAL_HEALTH: u32 = 3;
/// Members that are asked to ping one that has not answered.
pub(crate) const INDIRECT_PROBES: usize = 3;
/// Members pinged for others at a time.
const MAX_PING_REQUESTS: usize = 64;
/// Members probed in a round by one that hears nobody.
const MAX_PROBES: usize = 64;
/// More suspects allow for so many more probes in a round.
const MAX_EXTRA_PROBES: usize = 3;
const SUSPECTS_PER_EXTRA_PROBE: usize = 4;
/// After so many periods without any message a member is isolated.
const ISOLATION_PERIODS: u64 = 2;
/// How many members of the fleet look into a suspicion at once, on average.
const SUSPICION_CHECKS: f64 = 5.0;

/// A member that has been pinged in this round.
#[derive(Clone, Hash)]
struct Probe {
    target: u64,
    sequence: u32,
    sent_at: Nanos,
    /// Whether others were asked to ping it, too.
    is_indirect: bool,
    /// Those of them that have not reported yet.
    helpers: Vec<u64>,
    answered: bool,
}

/// A member that is pinged for another.
#[derive(Clone, Hash)]
struct PingRequest {
    requester: SocketAddr,
    requester_sequence: u32,
    sequence: u32,
    target: u64,
    deadline: Nanos,
}

#[derive(Clone, Hash)]
pub(crate) struct FailureDetector {
    /// The members to probe in turn, in a random order, and how far that is done.
    probe_order: Vec<u64>,
    position: usize,
    probes: Vec<Probe>,
    ping_requests: Vec<PingRequest>,
    /// When anybody was heard last.
    pub last_heard: Nanos,
    pub next_round: Nanos,
    /// 0 is healthy.
    pub local_health: u32,
    sequence: u32,
}

impl FailureDetector {
    pub fn new(now: Nanos, next_round: Nanos, sequence: u32) -> FailureDetector {
        FailureDetector {
            probe_order: Vec::new(),
            position: 0,
            probes: Vec::new(),
            ping_requests: Vec::new(),
            last_heard: now,
            next_round,
            local_health: 0,
            sequence,
        }
    }

    /// How long the answer to a direct ping may take.
    fn ping_timeout(&self, period: Nanos) -> Nanos {
        period * 3 / 10 * Nanos::from(2 + self.local_health) / 2
    }

    /// When the next probe round, or something within one, is due.
    pub fn earliest_timer(&self, period: Nanos) -> Option<Nanos> {
        let direct = self.probes.iter().filter(|p| !p.answered && !p.is_indirect);
        let timeout = self.ping_timeout(period);
        let timers = direct
            .map(|probe| probe.sent_at + timeout)
            .chain(self.ping_requests.iter().map(|request| request.deadline));
        timers.chain([self.next_round]).min()
    }

    pub fn degrade_local_health(&mut self, by: u32) {
        self.local_health = (self.local_health + by).min(MAX_LOCAL_HEALTH);
    }

    fn improve_local_health(&mut self) {
        self.local_health = self.local_health.saturating_sub(1);
    }

    /// This process did not run for a while: what it waited for is void.
    pub fn on_stall(&mut self, now: Nanos) {
        self.probes.clear();
        self.degrade_local_health(1);
        self.next_round = now;
    }

    fn next_sequence(&mut self) -> u32 {
        // 0 is for pings whose answer does not matter.
        self.sequence = self.sequence.wrapping_add(1).max(1);
        self.sequence
    }

    /// The indexes of the probes that were not answered in time.
    fn late_probes(&self, now: Nanos, period: Nanos) -> Vec<usize> {
        let timeout = self.ping_timeout(period);
        let is_late =
            |probe: &Probe| !probe.answered && !probe.is_indirect && now >= probe.sent_at + timeout;
        (0..self.probes.len())
            .filter(|index| is_late(&self.probes[*index]))
            .collect()
    }

    fn take_late_ping_requests(&mut self, now: Nanos) -> Vec<PingRequest> {
        let is_late = |request: &PingRequest| now >= request.deadline;
        let late = self.ping_requests.iter().filter(|r| is_late(r)).cloned();
        let late = late.collect();
        self.ping_requests.retain(|request| !is_late(request));
        late
    }

    /// Starts another pass over all members that are not dead.
    fn refill_probe_order(&mut self, table: &MemberTable) {
        let alive = |id: &u64| table.is_alive(*id);
        self.probe_order = table.members.keys().copied().filter(alive).collect();
        self.position = 0;
    }

    /// A new member is probed within the pass that is under way: its place may be any from here on.
    pub fn places_left(&self) -> std::ops::RangeInclusive<usize> {
        let first = self.position.min(self.probe_order.len());
        first..=self.probe_order.len()
    }

    pub fn insert_into_pass(&mut self, place: usize, id: u64) {
        self.probe_order.insert(place, id);
    }

    fn probe_next(&mut self, id: u64) {
        let place = self.position.min(self.probe_order.len());
        self.probe_order.insert(place, id);
    }
}

impl Membership {
    /// Has others ping those that have not answered in time.
    pub(crate) fn request_indirect_probes(&mut self, now: Nanos, out: &mut Vec<Action>) {
        for index in self.detector.late_probes(now, self.period) {
            let (target, sequence) = {
                let probe = &self.detector.probes[index];
                (probe.target, probe.sequence)
            };
            let helpers = self.random_members(INDIRECT_PROBES, Some(target));
            let probe = &mut self.detector.probes[index];
            probe.is_indirect = true;
            probe.helpers.clone_from(&helpers);
            for helper in helpers {
                let body = MessageBody::PingRequest { sequence, target };
                self.send(helper, body, None, out);
            }
        }
    }

    /// Reports members that have not answered to those that asked for them.
    pub(crate) fn expire_ping_requests(&mut self, now: Nanos, out: &mut Vec<Action>) {
        for request in self.detector.take_late_ping_requests(now) {
            self.report_ping_result(&request, false, out);
        }
    }

    fn report_ping_result(&mut self, request: &PingRequest, answered: bool, out: &mut Vec<Action>) {
        let body = MessageBody::PingResult {
            sequence: request.requester_sequence,
            answered,
        };
        self.send_to(request.requester, body, None, out);
    }

    /// Suspects those that have not answered in the round.
    pub(crate) fn finish_probe_round(&mut self, now: Nanos, out: &mut Vec<Action>) {
        for probe in std::mem::take(&mut self.detector.probes) {
            if probe.answered {
                self.detector.improve_local_health();
                continue;
            }
            // Healthy helpers that said nothing either: it may be this member that hears nobody.
            let is_healthy = |id: &&u64| self.table.is_healthy(**id);
            let silent = probe.helpers.iter().filter(is_healthy).count() as u32;
            self.detector
                .degrade_local_health(silent.max(u32::from(!probe.is_indirect)));
            self.suspect(now, probe.target, out);
        }
    }

    /// Suspects a member, or confirms the suspicion of others.
    fn suspect(&mut self, now: Nanos, id: u64, out: &mut Vec<Action>) {
        if self.table.is_alive(id) {
            self.declare(now, id, MemberState::Suspect, out);
        }
    }

    /// Concludes by itself that a member is in this state.
    pub(crate) fn declare(
        &mut self,
        now: Nanos,
        id: u64,
        state: MemberState,
        out: &mut Vec<Action>,
    ) {
        if let Some(claim) = self.table.claim(id) {
            let claim = MemberClaim {
                state,
                accuser: self.table.my_id,
                ..claim
            };
            self.merge(now, &claim, out);
        }
    }

    /// Pings the next members in turn.
    pub(crate) fn start_probe_round(&mut self, now: Nanos, out: &mut Vec<Action>) {
        let is_isolated = now > self.detector.last_heard + ISOLATION_PERIODS * self.period;
        // An isolated member probes more of them at a time, to know whether anybody is left.
        let half_periods = if is_isolated {
            2
        } else {
            Nanos::from(2 + self.detector.local_health)
        };
        self.detector.next_round = now + self.period * half_periods / 2;
        if self.detector.position >= self.detector.probe_order.len() {
            self.detector.refill_probe_order(&self.table);
            self.random.shuffle(&mut self.detector.probe_order);
        }
        let extra = self.table.suspicions.len() / SUSPECTS_PER_EXTRA_PROBE;
        let usual = 1 + extra.min(MAX_EXTRA_PROBES);
        let count = if is_isolated {
            (self.detector.probe_order.len() / 4).clamp(usual, MAX_PROBES)
        } else {
            usual
        };
        while self.detector.probes.len() < count
            && self.detector.position < self.detector.probe_order.len()
        {
            let target = self.detector.probe_order[self.detector.position];
            self.detector.position += 1;
            if self.table.is_alive(target) {
                self.probe(now, target, out);
            }
        }
    }

    fn probe(&mut self, now: Nanos, target: u64, out: &mut Vec<Action>) {
        let sequence = self.detector.next_sequence();
        self.detector.probes.push(Probe {
            target,
            sequence,
            sent_at: now,
            is_indirect: false,
            helpers: Vec::new(),
            answered: false,
        });
        self.ping(target, sequence, out);
    }

    /// Pings a member. A suspect hears of the suspicion before all else, so that it can refute it.
    fn ping(&mut self, target: u64, sequence: u32, out: &mut Vec<Action>) {
        let suspicion = Some(target).filter(|id| self.table.suspicions.contains(*id));
        self.send(
            target,
            MessageBody::Ping { sequence, target },
            suspicion,
            out,
        );
    }

    /// A member has answered a ping.
    pub(crate) fn on_ack(&mut self, sender: u64, sequence: u32, out: &mut Vec<Action>) {
        let probes = &mut self.detector.probes;
        let probe = probes
            .iter_mut()
            .find(|probe| probe.sequence == sequence && probe.target == sender);
        if let Some(probe) = probe {
            probe.answered = true;
        }
        let requests = &mut self.detector.ping_requests;
        let index = requests
            .iter()
            .position(|request| request.sequence == sequence && request.target == sender);
        if let Some(index) = index {
            let request = requests.swap_remove(index);
            self.report_ping_result(&request, true, out);
        }
    }

    /// Pings a member for another.
    pub(crate) fn on_ping_request(
        &mut self,
        now: Nanos,
        requester: SocketAddr,
        requester_sequence: u32,
        target: u64,
        out: &mut Vec<Action>,
    ) {
        let is_full = self.detector.ping_requests.len() >= MAX_PING_REQUESTS;
        if is_full || self.table.get(target).is_none() {
            return;
        }
        let sequence = self.detector.next_sequence();
        self.detector.ping_requests.push(PingRequest {
            requester,
            requester_sequence,
            sequence,
            target,
            deadline: now + self.period * 3 / 10,
        });
        self.ping(target, sequence, out);
    }

    /// A helper reports whether the target of a probe has answered it.
    pub(crate) fn on_ping_result(
        &mut self,
        now: Nanos,
        helper: u64,
        sequence: u32,
        answered: bool,
        out: &mut Vec<Action>,
    ) {
        let probes = &mut self.detector.probes;
        let Some(index) = probes
            .iter()
            .position(|probe| probe.sequence == sequence && probe.is_indirect)
        else {
            return;
        };
        let probe = &mut probes[index];
        probe.answered |= answered;
        probe.helpers.retain(|id| *id != helper);
        // It has answered none of the helpers either.
        if !probe.answered && probe.helpers.is_empty() {
            let probe = probes.swap_remove(index);
            self.suspect(now, probe.target, out);
        }
    }

    /// A few of those that hear of a suspicion probe the suspect next, to find out by themselves.
    pub(crate) fn maybe_check_suspect(&mut self, id: u64) {
        let others = self.table.alive_count().saturating_sub(2).max(1) as f64;
        let is_chosen = self.random.fraction() < SUSPICION_CHECKS / others;
        let is_probed = self.detector.probes.iter().any(|probe| probe.target == id);
        if is_chosen && !is_probed {
            self.detector.probe_next(id);
        }
    }
}
