//! The state machine of one member. It dispatches events to the parts of the protocol and runs their timers.

use crate::anti_entropy::AntiEntropy;
use crate::event::{Action, Event, MembershipConfig};
use crate::failure_detector::FailureDetector;
use crate::member::{MemberInfo, MemberState, MemberVersion, Nanos};
use crate::member_table::{Member, MemberTable};
use crate::message::MessageBody;
use crate::quota::QuotaLending;
use crate::random::Random;
use std::net::SocketAddr;

/// The number of members that this one notifies directly when it leaves.
const LEAVE_FANOUT: usize = 4;
/// How long a dead member is remembered, in periods.
const DEAD_RETENTION_PERIODS: u64 = 1800;
/// How long this member owns no shards after a stall, in periods: notice that others took its shards over may still be
/// in transit.
const STALL_HOLD_OFF_PERIODS: u64 = 3;
/// The maximum lag, in periods added to the interval between two gossip rounds.
const MAX_LAG: u32 = 3;

/// One member of a fleet, with its view of all others.
#[derive(Clone, Hash)]
pub struct Membership {
    pub(crate) table: MemberTable,
    pub(crate) period: Nanos,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) fleet_id: u32,
    pub(crate) random: Random,
    started_at: Nanos,
    /// The system clock at the start, in milliseconds since the Unix epoch.
    started_at_unix_ms: u64,
    pub(crate) detector: FailureDetector,
    pub(crate) anti_entropy: AntiEntropy,
    pub(crate) quota: QuotaLending,
    /// When the next gossip round is due.
    pub(crate) next_gossip_round: Nanos,
    gossip_rounds: u32,
    /// How many periods are added to the interval between two gossip rounds, as this member was recently woken late. A
    /// stall raises it by two; every gossip round lowers it by one.
    lag: u32,
    /// This member owns no shards before this time, as it has stalled.
    hold_off_until: Nanos,
    /// Whether this member has stopped participating, because it left or another process took its name.
    pub(crate) is_inactive: bool,
    /// The highest version of this member that others declared dead in its current incarnation.
    pub(crate) declared_dead: Option<MemberVersion>,
    next_suspicion_expiry: Nanos,
    next_wakeup: Nanos,
}

impl Membership {
    /// Creates a member that starts at `now`. `unix_ms` is the system clock, in milliseconds since the Unix epoch, and
    /// becomes the member's incarnation. All random numbers follow from `seed`.
    pub fn new(
        info: MemberInfo,
        config: MembershipConfig,
        now: Nanos,
        unix_ms: u64,
        seed: u64,
    ) -> Membership {
        let mut random = Random::new(seed);
        let MembershipConfig {
            period,
            seeds,
            max_members,
            fleet_id,
        } = config;
        // A random offset keeps members that start together from probing in lockstep.
        let first_round = now + (period as f64 / 4.0 * random.fraction()) as Nanos;
        let sequence = random.next_u32();
        let quota = QuotaLending::new(&info, unix_ms, period, now);
        Membership {
            table: MemberTable::new(info, unix_ms, now, max_members),
            period: period.max(1),
            seeds,
            fleet_id,
            random,
            started_at: now,
            started_at_unix_ms: unix_ms,
            detector: FailureDetector::new(now, first_round, sequence),
            anti_entropy: AntiEntropy::new(),
            quota,
            next_gossip_round: first_round,
            gossip_rounds: 0,
            lag: 0,
            hold_off_until: now,
            is_inactive: false,
            declared_dead: None,
            next_suspicion_expiry: Nanos::MAX,
            next_wakeup: first_round,
        }
    }

    /// Returns when the caller must next pass [`Event::TimerFired`].
    pub fn next_wakeup(&self) -> Nanos {
        self.next_wakeup
    }

    /// Returns the properties that this member announces.
    pub fn info(&self) -> &MemberInfo {
        &self.table.me.info
    }

    /// Returns the version of this member's latest announcement.
    pub fn version(&self) -> MemberVersion {
        self.table.me.version
    }

    /// Returns the state that this member announces.
    pub fn state(&self) -> MemberState {
        self.table.me.state
    }

    /// Iterates over all other known members, dead ones included.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.table.members.values()
    }

    /// Returns a digest of the member table. Members whose tables agree have equal digests.
    pub fn digest(&self) -> u64 {
        self.table.digest()
    }

    /// Returns the time of the last change to the member table.
    pub fn unchanged_since(&self) -> Nanos {
        self.table.unchanged_since
    }

    /// Returns Lifeguard's local health multiplier; 0 is healthy. Each step makes a probe round half a period longer.
    pub fn local_health(&self) -> u32 {
        self.detector.local_health
    }

    /// Whether this member has stopped participating, because another process took its name or because it left.
    pub fn superseded(&self) -> bool {
        self.is_inactive
    }

    /// Whether this member currently owns no shards because it has stalled.
    pub fn holds_off(&self, now: Nanos) -> bool {
        now < self.hold_off_until
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        if self.is_inactive {
            return;
        }
        self.detect_stall(now, out);
        match event {
            Event::TimerFired => {}
            Event::MessageReceived { from, bytes } => self.on_message(now, from, bytes, out),
            Event::StateChanged(state) => {
                if state.is_healthy() && state != self.table.me.state {
                    self.table.announce(now, |me| me.state = state);
                }
            }
            Event::PlacementChanged {
                member_index,
                cluster_size,
            } => self.change_placement(now, member_index, cluster_size),
            Event::SeedsChanged(seeds) => self.seeds = seeds,
            Event::QuotaLendingChanged(lending) => self.quota.lending = lending,
            Event::Shutdown => self.leave(now, out),
        }
        if !self.is_inactive {
            self.run_timers(now, out);
        }
        self.next_suspicion_expiry = self
            .table
            .next_suspicion_expiry(self.period)
            .unwrap_or(Nanos::MAX);
        self.next_wakeup = self.earliest_timer();
    }

    fn change_placement(&mut self, now: Nanos, member_index: u32, cluster_size: u32) {
        let info = &self.table.me.info;
        if (info.member_index, info.cluster_size) == (member_index, cluster_size) {
            return;
        }
        let previous = info.cluster_size;
        let incarnation = self.table.me.version.incarnation;
        self.table.announce(now, |me| {
            me.info.member_index = member_index;
            me.info.cluster_size = cluster_size;
        });
        let info = &self.table.me.info;
        self.quota
            .restart(info, incarnation, previous, self.period, now);
    }

    fn leave(&mut self, now: Nanos, out: &mut Vec<Action>) {
        self.table.announce(now, |me| {
            me.state = MemberState::Dead;
            me.info.cluster_size = 0;
        });
        for id in self.random_members(LEAVE_FANOUT, None) {
            self.send(id, MessageBody::Gossip, None, out);
        }
        self.is_inactive = true;
    }

    /// Detects that this process was not run for a while. Without this, the member would accuse others of not answering
    /// while it was not listening itself.
    fn detect_stall(&mut self, now: Nanos, out: &mut Vec<Action>) {
        let late = now.saturating_sub(self.next_wakeup);
        if late > self.period / 2 {
            self.detector.on_stall(now);
            self.table.suspicions.postpone(late);
            self.lag = (self.lag + 2).min(MAX_LAG);
            self.hold_off_until = now + STALL_HOLD_OFF_PERIODS * self.period;
            out.push(Action::Stalled(late));
        }
    }

    fn run_timers(&mut self, now: Nanos, out: &mut Vec<Action>) {
        self.request_indirect_probes(now, out);
        self.expire_ping_requests(now, out);
        self.expire_suspicions(now, out);
        if self.quota.lending {
            self.request_leases(now, out);
        }
        if now >= self.next_gossip_round {
            self.run_gossip_round(now, out);
        }
        if now >= self.detector.next_round {
            self.finish_probe_round(now, out);
            self.start_probe_round(now, out);
        }
    }

    fn earliest_timer(&self) -> Nanos {
        if self.is_inactive {
            return Nanos::MAX;
        }
        let timers = [
            Some(self.next_gossip_round),
            Some(self.next_suspicion_expiry),
            self.detector.earliest_timer(self.period),
            self.quota.next_request_at(),
        ];
        timers.into_iter().flatten().min().unwrap_or(Nanos::MAX)
    }

    fn expire_suspicions(&mut self, now: Nanos, out: &mut Vec<Action>) {
        // `next_suspicion_expiry` is the value from the end of the previous event. A suspicion that started since
        // cannot have expired yet.
        if now < self.next_suspicion_expiry {
            return;
        }
        for id in self.table.expired_suspects(now, self.period) {
            self.declare(now, id, MemberState::Dead, out);
        }
    }

    /// Runs the periodic work besides the probe round: gossip, expiry of dead members, and a ping to a lost member.
    fn run_gossip_round(&mut self, now: Nanos, out: &mut Vec<Action>) {
        // Without the lag, members on one overloaded machine would stay late: what each sends besides its probe rounds
        // keeps the others from being run in time.
        self.next_gossip_round = now + self.period * Nanos::from(1 + self.lag);
        self.anti_entropy.refill(self.lag);
        self.gossip_rounds += 1;
        self.lag = self.lag.saturating_sub(1);
        let forget = now.saturating_sub(DEAD_RETENTION_PERIODS * self.period);
        self.table.forget_dead_since(forget);
        self.ping_lost_member(self.gossip_rounds, out);
        self.send_updates(out);
    }

    /// Returns the current Unix time in milliseconds, derived from the system clock at the start and the monotonic
    /// clock.
    pub(crate) fn unix_ms(&self, now: Nanos) -> u64 {
        self.started_at_unix_ms + now.saturating_sub(self.started_at) / 1_000_000
    }
}
