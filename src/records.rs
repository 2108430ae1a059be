//! The records of a node's parts, what a host's says of itself, and the notes that the parts send each other.
//! It must never decide anything.

use crate::calls::Calls;
use crate::*;
use std::collections::{HashMap, VecDeque};

/// Look-ahead steps, the paper's setting, and their length.
pub(crate) const STEPS: u64 = 10;
pub(crate) const STEP: Nanos = 3 * SECOND;
pub(crate) const HORIZON: f64 = (STEPS * STEP) as f64;
/// How often the node looks around by itself, and what that leaves of a share that fades.
pub(crate) const PULSE: Nanos = SECOND / 2;
pub(crate) const FADE: f64 = 0.98;
/// What a host's first connection of a group costs, in usual loads.
pub(crate) const GROUP_PRICE: f64 = 2.0;
/// How long a client, or a host that is gone, is remembered.
pub(crate) const TABLE_AGE: Nanos = 3600 * SECOND;

pub(crate) enum To {
    Host(usize),
    Desk,
    Helm,
    Ledger,
    Roll,
}

pub(crate) enum Note {
    Listed(Endpoint, bool),
    Unlisted,
    Sent(Conn),
    Begun {
        slot: usize,
        took: Nanos,
    },
    Ended {
        slot: usize,
        ending: AttemptOutcome,
    },
    LoadNow {
        slot: usize,
        load: f64,
    },
    Slow(Nanos),
    Blamed,
    /// What a report, or another node's word of one, says of the host.
    Reported {
        load: f64,
        heard: bool,
    },
    Behind(f64),
    Step {
        mean: f64,
    },
    Look,
    /// Whether it is this node's to look at.
    Mine(bool),
    Pulse {
        mean: f64,
        refuge: f64,
    },
    Arrived(IncomingRequest),
    /// With its hand-offs, the first that may have run, and the hosts tried.
    TakenUp(IncomingRequest, u32, Option<(usize, Nanos)>, Vec<usize>),
    /// At which host, and since when.
    ConnectionFound(IncomingRequest, usize, Nanos),
    Returned {
        slot: usize,
        over: bool,
        ending: AttemptOutcome,
    },
    Left {
        slot: usize,
    },
    Leaving {
        from: Nanos,
        by: Nanos,
    },
    Staying,
    /// So many offerings there are, and these stand where another stood.
    Offers(usize, Vec<usize>),
    Successor(bool),
    Inherited(Box<InheritedState>),
    Regarded(Box<HostSnapshot>),
    /// The turns in which cold hosts are handed anything have another length from now on.
    OtherTurns,
    Part,
    Shift {
        slot: usize,
    },
    Judged {
        vector: usize,
        spread: f64,
        longest: f64,
    },
    Lived {
        key: Option<u64>,
        length: Nanos,
    },
    /// What a connection weighed that is over here.
    Bore {
        key: Option<u64>,
        load: f64,
    },
    Open(f64),
    Weighed {
        class: usize,
        load: f64,
    },
    SetUp(HostId, Nanos),
    /// That many bytes were told.
    Spent(f64),
    Fared {
        late: bool,
    },
    Told(EndpointUpdate),
}

pub(crate) type Post = VecDeque<(To, Note)>;

/// A connection, or a hand-off that may become one, on its host's record.
#[derive(Default)]
pub(crate) struct Conn {
    pub slot: usize,
    pub class: usize,
    pub key: Option<u64>,
    pub group: Option<u64>,
    pub load: Option<f64>,
    pub since: Nanos,
    pub begun: bool,
    pub end: Nanos,
    /// Its part of the host's own load over the look-ahead steps.
    pub ahead: f64,
    /// Its load as counted in its host's.
    pub counted: f64,
    pub vector: Option<usize>,
}

impl Conn {
    pub fn new(
        now: Nanos,
        slot: usize,
        incoming: &IncomingRequest,
        ledger: &Ledger,
        settings: &BalancerSettings,
    ) -> Self {
        let end = now + ledger.length(incoming.key, now).unwrap_or(HORIZON) as Nanos;
        let group = incoming
            .group
            .filter(|_| settings.groups_enabled && !settings.passthrough);
        let load = incoming.usual_load.or(ledger.last_load(incoming.key, now));
        let (class, key) = (incoming.class, incoming.key);
        Conn {
            slot,
            class,
            key,
            group,
            load,
            since: now,
            end,
            ..Conn::default()
        }
    }
}

#[derive(Default)]
pub(crate) struct Host {
    pub id: HostId,
    pub inbox: VecDeque<Note>,
    pub listing: Endpoint,
    pub listed: bool,
    pub gone_since: Nanos,
    /// When it was last listed in another group than before.
    pub regrouped: Option<Nanos>,
    /// When it last took no connection.
    pub down: Option<Nanos>,
    /// Calls in a row for which this machine knew no way there.
    pub unroutable: u32,
    /// Since when it is told to be draining, where it is.
    pub draining: Nanos,
    pub conns: Vec<Conn>,
    pub groups: HashMap<u64, u32>,
    pub ahead: f64,
    /// What it pays for the groups that it holds.
    pub shared: f64,
    pub longest: Nanos,
    /// Hand-offs out that have not begun, and when the last went.
    pub pending: u32,
    pub sent: Nanos,
    /// Counts at the others' mean until its own load reaches that.
    pub newcomer: bool,
    pub masked_until: Nanos,
    pub strikes: u32,
    /// Message time over what is wanted, and when that was told.
    pub slowness: f64,
    pub slow_told: Nanos,
    /// The load that it was last reported to have, when, and what this node has sent there since.
    pub report: f64,
    pub reported: Nanos,
    pub since: f64,
    /// What all nodes were last told of that, and when.
    pub told: f64,
    pub told_at: Nanos,
    /// The turn in which this node last asked it for a report.
    pub looked: u64,
    /// Whether it is this node's to look at, where that was told.
    pub mine: Option<bool>,
    /// Open connections that it broke since the last look.
    pub broken: u32,
    /// Own load now, and how much of it the host has shown to bear from this node.
    pub load: f64,
    pub ceiling: Option<f64>,
    /// The most it bore of late with messages in time.
    pub good: f64,
    pub cut: Nanos,
    pub slowness_at_cut: f64,
    /// What a cold host may still be sent, and the turn up to which that was counted.
    pub credit: f64,
    pub turn: u64,
}

impl Host {
    pub fn ready(&self) -> bool {
        self.listed && self.listing.state == HostState::Ready
    }

    pub fn forgotten(&self, now: Nanos) -> bool {
        !self.listed && self.conns.is_empty() && now >= self.gone_since.saturating_add(TABLE_AGE)
    }

    pub fn own(&self) -> f64 {
        (self.ahead + self.shared) / self.listing.size
    }

    /// What a connection costs its host: its load, and its part of what its group is paid for.
    pub fn cost(&self, at: usize, ledger: &Ledger) -> f64 {
        let held = self.conns[at]
            .group
            .and_then(|g| self.groups.get(&g))
            .copied()
            .unwrap_or(0);
        self.conns[at].counted
            + if held > 0 {
                ledger.group_price() / f64::from(held)
            } else {
                0.0
            }
    }

    /// How long ago it started, as far as is known: no earlier than it last took no connection. Guards: hosts
    /// that came back cold before the list told of it, and were pushed over.
    pub fn age(&self, now: Nanos) -> Nanos {
        let started = self.listing.started.into_iter().chain(self.down).max();
        started.map_or(Nanos::MAX, |t| now.saturating_sub(t))
    }

    /// The share of its size that a host can be counted on to have reached since its start.
    pub fn warmth(&self, now: Nanos, settings: &BalancerSettings) -> f64 {
        settings.warm_up_initial_share
            + (1.0 - settings.warm_up_initial_share) * self.filled(now, settings)
    }

    /// The share of what other nodes may have placed at it since its start, of what they hold at a warm one.
    pub fn filled(&self, now: Nanos, settings: &BalancerSettings) -> f64 {
        (self.age(now) as f64 / settings.warm_up.max(1) as f64).min(1.0)
    }

    pub fn borne(&self) -> f64 {
        self.load + self.shared
    }

    /// Counts a connection's load, and its part in the look-ahead steps, in its host's sums.
    pub fn count(&mut self, at: usize, now: Nanos, ledger: &Ledger) {
        let conn = &mut self.conns[at];
        if conn.end <= now {
            // It outlived its prediction: what lasts tends to last, so the mean again.
            conn.end = now + ledger.mean_length();
        }
        let steps = ((conn.end - now).div_ceil(STEP)).min(STEPS);
        let load = ledger.load(conn.class, conn.load);
        let ahead = load * steps as f64 / STEPS as f64;
        (self.ahead, self.load) = (
            self.ahead + ahead - conn.ahead,
            self.load + load - conn.counted,
        );
        (conn.ahead, conn.counted) = (ahead, load);
        self.longest = self.longest.max(conn.end);
        self.shared = ledger.group_price() * self.groups.len() as f64;
    }

    /// Guards: what was placed before any load was known, counted at that guess for steps to come.
    pub fn recount(&mut self, now: Nanos, ledger: &Ledger) {
        (self.ahead, self.load, self.longest) = (0.0, 0.0, 0);
        for n in 0..self.conns.len() {
            (self.conns[n].ahead, self.conns[n].counted) = (0.0, 0.0);
            self.count(n, now, ledger);
        }
    }

    /// What the process that takes this one's place is to know of it.
    pub fn regard(&self) -> HostSnapshot {
        HostSnapshot {
            id: self.id,
            newcomer: self.newcomer,
            draining_since: self.draining,
            connect_failed_at: self.down,
            ejected_until: self.masked_until,
            ejections: self.strikes,
            latency_ratio: self.slowness,
            latency_measured_at: self.slow_told,
            load_limit: self.ceiling,
            sustained_load: self.good,
            limit_decreased_at: self.cut,
            latency_ratio_at_decrease: self.slowness_at_cut,
            reported_load: self.report,
            reported_at: self.reported,
        }
    }

    pub fn regarded(&mut self, by: HostSnapshot) {
        (self.newcomer, self.down, self.report, self.reported) = (
            by.newcomer,
            by.connect_failed_at,
            by.reported_load,
            by.reported_at,
        );
        (self.draining, self.masked_until, self.strikes) =
            (by.draining_since, by.ejected_until, by.ejections);
        (self.slowness, self.slow_told, self.slowness_at_cut) = (
            by.latency_ratio,
            by.latency_measured_at,
            by.latency_ratio_at_decrease,
        );
        (self.ceiling, self.good, self.cut) =
            (by.load_limit, by.sustained_load, by.limit_decreased_at);
    }

    /// Whether no list has named it so far.
    pub fn never_listed(&self) -> bool {
        self.listing.size <= 0.0
    }

    pub fn drop_conn(&mut self, at: usize) -> Conn {
        let conn = self.conns.swap_remove(at);
        (self.ahead, self.load) = (self.ahead - conn.ahead, self.load - conn.counted);
        if self.conns.is_empty() {
            (self.ahead, self.load, self.shared) = (0.0, 0.0, 0.0);
        }
        if let Some((group, held)) = conn.group.and_then(|g| Some((g, self.groups.get_mut(&g)?))) {
            *held -= 1;
            if *held == 0 {
                self.groups.remove(&group);
            }
        }
        if conn.end >= self.longest {
            self.longest = self.conns.iter().map(|c| c.end).max().unwrap_or(0);
        }
        if !conn.begun {
            self.pending -= 1;
        }
        conn
    }
}

/// A hand-off that may have run: its host, how that was listed then, and when it was sent.
#[derive(Clone, Copy)]
pub(crate) struct FirstRun {
    pub host: usize,
    pub listed: Endpoint,
    pub sent: Nanos,
}

#[derive(Default)]
pub(crate) struct Request {
    pub id: RequestId,
    pub incoming: IncomingRequest,
    pub deadline: Nanos,
    pub attempts: u32,
    /// How many it may have, by the terms under which it came.
    pub most: u32,
    /// The host a hand-off is out to, or the connection stands on.
    pub at: Option<usize>,
    pub begun: bool,
    pub answered: bool,
    pub moved: bool,
    /// The first hand-off that may have run.
    pub may_have_run: Option<FirstRun>,
    /// When the last hand-off was sent, and how its host was listed then.
    pub sent: Nanos,
    pub sent_to: Endpoint,
    pub tried: Vec<usize>,
    /// Hand-offs that hosts failed, and the last of those hosts.
    pub errors: u32,
    pub failed: Option<usize>,
}

#[derive(Default)]
pub(crate) struct Desk {
    pub inbox: VecDeque<Note>,
    pub slots: Vec<Option<Request>>,
    pub free: Vec<usize>,
    pub names: HashMap<RequestId, usize>,
    /// Share of late hand-offs that failed, whatever the host, and the host of the last that did.
    pub trouble: f64,
    pub failing: Option<usize>,
    /// Share of the last connections that met late messages at their host.
    pub late: f64,
    /// Since when all that came was dismissed for that.
    pub refused_since: Option<Nanos>,
    /// Bytes that may still be told, over all who hear them.
    pub purse: f64,
    /// The node stops, and by when its clients are to be gone.
    pub leaving: Option<Nanos>,
    /// When clients are next sent away.
    pub parts: Nanos,
    /// Another process has its legacy.
    pub successor: bool,
    /// Attachments that came within about the last second, as of when the last did.
    pub coming: (f64, Nanos),
}

impl Desk {
    /// A record for an attachment that has come, under these terms.
    pub fn admit(
        &mut self,
        now: Nanos,
        mut incoming: IncomingRequest,
        settings: &BalancerSettings,
    ) -> usize {
        incoming.class = incoming.class.min(settings.classes.len().saturating_sub(1));
        let deadline = now.saturating_add(incoming.time_left);
        let (id, most) = (incoming.id, settings.max_attempts);
        let request = Request {
            id,
            incoming,
            deadline,
            sent: now,
            most,
            ..Request::default()
        };
        let slot = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.slots[slot] = Some(request);
        self.names.insert(id, slot);
        slot
    }

    /// How many came within about the last second.
    pub fn came_of_late(&self, now: Nanos) -> f64 {
        self.coming.0 * (-(now.saturating_sub(self.coming.1) as f64) / SECOND as f64).exp()
    }

    /// One has come.
    pub fn came(&mut self, now: Nanos) {
        self.coming = (self.came_of_late(now) + 1.0, now);
    }

    /// How long a client's lot holds: as long as `longest` where in that time no more come than are there. Guards: a cold
    /// host pushed over as clients come so fast that the lots of two seconds are used up in one.
    pub fn lot(&self, now: Nanos, longest: Nanos) -> Nanos {
        let come = self.came_of_late(now) * longest as f64 / SECOND as f64;
        (longest as f64 * (self.names.len() as f64 / come.max(f64::MIN_POSITIVE)).min(1.0)) as Nanos
    }

    pub fn forget(&mut self, slot: usize) {
        if let Some(request) = self.slots[slot].take() {
            self.names.remove(&request.id);
            self.free.push(slot);
        }
    }
}

/// The place of a host's record. That of a host long gone serves again: a node runs for months. None before
/// `searched` does.
pub(crate) fn record(
    hosts: &mut Vec<Host>,
    known: &mut HashMap<HostId, usize>,
    id: HostId,
    now: Nanos,
    searched: &mut usize,
) -> usize {
    if let Some(host) = known.get(&id) {
        return *host;
    }
    let spare = hosts.iter().skip(*searched).position(|h| h.forgotten(now));
    let spare = spare.map_or(hosts.len(), |n| *searched + n);
    *searched = spare;
    let fresh = Host {
        id,
        gone_since: now,
        ..Host::default()
    };
    if let Some(old) = hosts.get_mut(spare) {
        known.remove(&std::mem::replace(old, fresh).id);
    } else {
        hosts.push(fresh);
    }
    known.insert(id, spare);
    spare
}

/// What is known of clients by their keys, usual loads by offering, and how long set-ups take.
#[derive(Default)]
pub(crate) struct Ledger {
    pub inbox: VecDeque<Note>,
    pub clients: HashMap<u64, ClientStatistics>,
    pub order: VecDeque<(u64, Nanos)>,
    pub mean: Option<f64>,
    /// The time that connections have been open of late, and how many have ended.
    pub lived: f64,
    pub ended: f64,
    pub usual: Vec<Option<f64>>,
    pub unit: Option<f64>,
    /// Loads that were told, up to how many are blended.
    pub weighed: u32,
    pub set_up: f64,
    /// The first host of those whose set-ups have taken long since one did not.
    pub long: Option<HostId>,
}

#[derive(Clone, Copy, Default)]
pub(crate) struct Vector {
    pub balance: f64,
    pub gap: f64,
    pub spread: f64,
    pub longest: f64,
    pub judged: u32,
}

impl Vector {
    pub fn dominates(&self, other: &Vector) -> bool {
        let spread = (
            self.spread / self.judged as f64,
            other.spread / other.judged as f64,
        );
        let longest = (
            self.longest / self.judged as f64,
            other.longest / other.judged as f64,
        );
        spread.0 <= spread.1
            && longest.0 <= longest.1
            && (spread.0 < spread.1 || longest.0 < longest.1)
    }
}

/// The weight vectors, used in turns.
#[derive(Default)]
pub(crate) struct Helm {
    pub inbox: VecDeque<Note>,
    pub vectors: [Vector; 4],
    pub next: usize,
}

/// Following the roll where it comes only when asked for.
#[derive(Default)]
pub(crate) struct Roll {
    pub inbox: VecDeque<Note>,
    pub calls: Calls,
}

/// What one look over the ready hosts shows.
pub(crate) struct Survey {
    /// Mean own load of the hosts that are not masked, newcomers as they count.
    pub mean: f64,
    /// How much of the others' mean a newcomer counts at, in place of its own load.
    pub blind: f64,
    /// What own loads are blurred by, as what a node of many holds is but a sample. Guards: hosts judged by
    /// a connection or two.
    pub unseen: f64,
    /// Share of the hosts that are in time and not masked; hosts in the own zone.
    pub refuge: f64,
    pub near: f64,
    /// What a host without a ceiling bears, a size: where most have one, theirs. Guards: one that all fill.
    pub typical: f64,
    /// The price of a crossing, less where own hosts are pressed. Guards: a zone that is filled and filled.
    pub crossing: f64,
    /// Own connections a size that a warm host bears: four times the mean, or nearer it the more have a
    /// ceiling. Guards: a fleet that grows and whose new hosts stay idle.
    pub count: f64,
    /// Mean reported load, and a usual load.
    pub loaded: f64,
    pub unit: f64,
    /// Ready hosts, and their size.
    pub ready: f64,
    pub size: f64,
    pub near_size: f64,
    /// How long a client's lot at a cold host holds.
    pub lot: Nanos,
}

/// Mixes two words; the same at every node, so that nodes agree without talking.
pub(crate) fn draw(a: u64, b: u64) -> f64 {
    let mut x = a.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ b.wrapping_add(0xD1B5_4A32_D192_ED03);
    x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^= x >> 31;
    ((x >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}
