//! Failure detection: probe rounds, indirect probes through other members, and this member's local health. A member
//! that neither answers a ping nor is reached by a helper becomes suspect.

use crate::event::Action;
use crate::member::{MemberState, Nanos};
use crate::member_table::MemberTable;
use crate::membership::Membership;
use crate::message::{MemberClaim, MessageBody};
use std::net::SocketAddr;

/// The worst value of the local health multiplier; 0 is healthy.
const MAX_LOCAL_HEALTH: u32 = 3;
/// The number of members that are asked to ping one that has not answered.
pub(crate) const INDIRECT_PROBES: usize = 3;
/// The maximum number of concurrent pings on behalf of others.
const MAX_PING_REQUESTS: usize = 64;
/// The maximum number of members that an isolated member probes in a round.
const MAX_ISOLATED_PROBES: usize = 64;
/// The maximum number of probes added to a round while members are suspect, one for every [`SUSPECTS_PER_EXTRA_PROBE`]
/// suspects.
const MAX_EXTRA_PROBES: usize = 3;
const SUSPECTS_PER_EXTRA_PROBE: usize = 4;
/// A member that received no message for longer than this is isolated; in periods.
const ISOLATION_PERIODS: u64 = 2;
/// How many members of the fleet check a new suspicion with a probe of their own, on average.
const MEAN_SUSPICION_CHECKS: f64 = 5.0;

/// A ping sent in the current round.
#[derive(Clone, Hash)]
struct Probe {
    target: u64,
    sequence: u32,
    sent_at: Nanos,
    /// Whether helpers were asked to ping the target as well.
    is_indirect: bool,
    /// The helpers that have not reported yet.
    helpers: Vec<u64>,
    answered: bool,
}

/// A ping sent on behalf of another member.
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
    /// The members to probe in the current pass, in random order; those before `position` are done.
    probe_order: Vec<u64>,
    position: usize,
    probes: Vec<Probe>,
    ping_requests: Vec<PingRequest>,
    /// When the last valid message was received.
    pub last_heard: Nanos,
    pub next_round: Nanos,
    /// Lifeguard's local health multiplier, from 0 (healthy) to [`MAX_LOCAL_HEALTH`].
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

    /// Returns how long the answer to a direct ping may take: 0.3 periods, and 0.15 more per step of local health.
    fn ping_timeout(&self, period: Nanos) -> Nanos {
        period * 3 / 10 * Nanos::from(2 + self.local_health) / 2
    }

    /// Returns when the next probe round, ping timeout or ping request deadline is due.
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

    /// Discards the open probes after a stall, as their answers may have arrived unread, and starts a new round at
    /// once.
    pub fn on_stall(&mut self, now: Nanos) {
        self.probes.clear();
        self.degrade_local_health(1);
        self.next_round = now;
    }

    fn next_sequence(&mut self) -> u32 {
        // 0 marks pings whose answer is ignored.
        self.sequence = self.sequence.wrapping_add(1).max(1);
        self.sequence
    }

    /// Returns the indexes of the direct probes that were not answered in time.
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

    /// Returns the positions at which a new member may be inserted, so that it is still probed in the current pass.
    pub fn remaining_positions(&self) -> std::ops::RangeInclusive<usize> {
        let first = self.position.min(self.probe_order.len());
        first..=self.probe_order.len()
    }

    pub fn insert_into_probe_order(&mut self, position: usize, id: u64) {
        self.probe_order.insert(position, id);
    }

    fn probe_next(&mut self, id: u64) {
        let position = self.position.min(self.probe_order.len());
        self.probe_order.insert(position, id);
    }
}

impl Membership {
    /// Asks helpers to ping the members that have not answered in time.
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

    /// Reports failed pings on behalf of others to their requesters.
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

    /// Ends the probe round: suspects the members that have not answered, and adjusts the local health.
    pub(crate) fn finish_probe_round(&mut self, now: Nanos, out: &mut Vec<Action>) {
        for probe in std::mem::take(&mut self.detector.probes) {
            if probe.answered {
                self.detector.improve_local_health();
                continue;
            }
            // If healthy helpers have not reported either, it may be this member that receives nothing, so its local
            // health degrades by their number.
            let is_healthy = |id: &&u64| self.table.is_healthy(**id);
            let silent = probe.helpers.iter().filter(is_healthy).count() as u32;
            self.detector
                .degrade_local_health(silent.max(u32::from(!probe.is_indirect)));
            self.suspect(now, probe.target, out);
        }
    }

    /// Suspects a member, or confirms an existing suspicion. Dead and unknown members are ignored.
    fn suspect(&mut self, now: Nanos, id: u64, out: &mut Vec<Action>) {
        if self.table.is_alive(id) {
            self.declare(now, id, MemberState::Suspect, out);
        }
    }

    /// Merges this member's own conclusion that a member is in this state.
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

    /// Starts a probe round: pings the next members of the pass.
    pub(crate) fn start_probe_round(&mut self, now: Nanos, out: &mut Vec<Action>) {
        let is_isolated = now > self.detector.last_heard + ISOLATION_PERIODS * self.period;
        // An isolated member probes more members at once, to find out sooner whether any are reachable.
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
            (self.detector.probe_order.len() / 4).clamp(usual, MAX_ISOLATED_PROBES)
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

    /// Pings a member. A suspect is told of the suspicion before any other update, so that it can refute it.
    fn ping(&mut self, target: u64, sequence: u32, out: &mut Vec<Action>) {
        let suspicion = Some(target).filter(|id| self.table.suspicions.contains(*id));
        self.send(
            target,
            MessageBody::Ping { sequence, target },
            suspicion,
            out,
        );
    }

    /// Handles the answer to a ping, which may have been sent on behalf of another member.
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

    /// Pings a member on behalf of another, unless the member is unknown or too many such pings are open.
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

    /// Handles a helper's report of whether the target of a probe has answered.
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
        // All helpers have reported, and none of them received an answer either.
        if !probe.answered && probe.helpers.is_empty() {
            let probe = probes.swap_remove(index);
            self.suspect(now, probe.target, out);
        }
    }

    /// Decides at random whether this member probes a new suspect next. The probability is such that
    /// [`MEAN_SUSPICION_CHECKS`] members of the fleet do so on average.
    pub(crate) fn maybe_check_suspect(&mut self, id: u64) {
        let others = self.table.alive_count().saturating_sub(2).max(1) as f64;
        let is_chosen = self.random.fraction() < MEAN_SUSPICION_CHECKS / others;
        let is_probed = self.detector.probes.iter().any(|probe| probe.target == id);
        if is_chosen && !is_probed {
            self.detector.probe_next(id);
        }
    }
}
