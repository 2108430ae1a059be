//! The state machine of one member: what it is told is dealt out to the parts of the protocol.

use crate::anti_entropy::AntiEntropy;
use crate::event::{Action, Event, MembershipConfig};
use crate::failure_detector::FailureDetector;
use crate::member::{MemberInfo, MemberState, MemberVersion, Nanos};
use crate::member_table::{Member, MemberTable};
use crate::message::MessageBody;
use crate::quota::QuotaLending;
use crate::random::Random;
use std::net::SocketAddr;

/// Members that hear directly that this one leaves.
const LEAVE_FANOUT: usize = 4;
/// For how many periods a dead member is remembered.
const DEAD_RETENTION_PERIODS: u64 = 1800;
/// After a stall this member owns no shards for so many periods: the word that others took them over may be under way.
const STALL_HOLD_OFF_PERIODS: u64 = 3;
/// A lag may stretch the time between two gossip rounds by so many periods.
const MAX_LAG: u32 = 3;

/// One member of a fleet.
#[derive(Clone, Hash)]
pub struct Membership {
    pub(crate) table: MemberTable,
    pub(crate) period: Nanos,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) fleet_id: u32,
    pub(crate) random: Random,
    started_at: Nanos,
    /// The system's clock at the start, in milliseconds.
    started_at_unix_ms: u64,
    pub(crate) detector: FailureDetector,
    pub(crate) anti_entropy: AntiEntropy,
    pub(crate) quota: QuotaLending,
    /// When gossip goes out by itself.
    pub(crate) next_gossip_round: Nanos,
    gossip_rounds: u32,
    /// How late it was woken of late; each step adds a period between two gossip rounds.
    lag: u32,
    /// Until when it owns no shards.
    hold_off_until: Nanos,
    /// It takes no part any more: it has left, or another process took its name.
    pub(crate) is_inactive: bool,
    /// The latest of its versions that others took for dead.
    pub(crate) declared_dead: Option<MemberVersion>,
    next_suspicion_expiry: Nanos,
    next_wakeup: Nanos,
}

impl Membership {
    /// Starts a member; `unix_ms` is the system's clock, in milliseconds.
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
        // Members that start together do not probe in step.
        let first_round = now + (period as f64 / 4.0 * random.fraction()) as Nanos;
        let sequence = random.number();
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

    /// When it is to be woken by [`Event::TimerFired`].
    pub fn next_wakeup(&self) -> Nanos {
        self.next_wakeup
    }

    /// What this member says of itself.
    pub fn info(&self) -> &MemberInfo {
        &self.table.me.info
    }

    /// The version of that.
    pub fn version(&self) -> MemberVersion {
        self.table.me.version
    }

    /// The state that it announces.
    pub fn state(&self) -> MemberState {
        self.table.me.state
    }

    /// All others that it knows.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.table.members.values()
    }

    /// Equal for members that agree on all members.
    pub fn digest(&self) -> u64 {
        self.table.digest()
    }

    /// Since when nothing has changed.
    pub fn unchanged_since(&self) -> Nanos {
        self.table.unchanged_since
    }

    /// Lifeguard's local health multiplier: each step makes a probe round half a period longer.
    pub fn local_health(&self) -> u32 {
        self.detector.local_health
    }

    /// Whether it takes no part any more, as another process took its name; also once it has left.
    pub fn superseded(&self) -> bool {
        self.is_inactive
    }

    /// Whether it owns no shards for now, as it has stalled.
    pub fn holds_off(&self, now: Nanos) -> bool {
        now < self.hold_off_until
    }

    /// Handles an event; what is to be done is added to `out`.
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

    /// This process may not have run for a while. Without this, it accuses others of not answering while it did not
    /// listen.
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
        // A suspicion that has come since has not expired yet.
        if now < self.next_suspicion_expiry {
            return;
        }
        for id in self.table.expired_suspects(now, self.period) {
            self.declare(now, id, MemberState::Dead, out);
        }
    }

    /// What each period brings beside the probe round.
    fn run_gossip_round(&mut self, now: Nanos, out: &mut Vec<Action>) {
        // Without the lag, members of one busy machine are late since all of them are, and keep each other so by what
        // they send beside their probe rounds.
        self.next_gossip_round = now + self.period * Nanos::from(1 + self.lag);
        self.anti_entropy.refill(self.lag);
        self.gossip_rounds += 1;
        self.lag = self.lag.saturating_sub(1);
        let forget = now.saturating_sub(DEAD_RETENTION_PERIODS * self.period);
        self.table.forget_dead_since(forget);
        self.ping_lost_member(self.gossip_rounds, out);
        self.spread_news(out);
    }

    /// The system's clock, as it goes on steadily since the start.
    pub(crate) fn unix_ms(&self, now: Nanos) -> u64 {
        self.started_at_unix_ms + now.saturating_sub(self.started_at) / 1_000_000
    }
}
