//! The interface of the decision module: what it is told and what it orders.

use serde::{Deserialize, Serialize};

/// Whole nanoseconds, on the caller's clock.
pub type Nanos = u64;
pub const MILLI: Nanos = 1_000_000;
pub const SECOND: Nanos = 1_000_000_000;

/// A host's name; the module only compares and hashes it.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct HostId(pub u64);

/// An attachment's name, returned untouched.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct AttachmentId(pub u64);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    #[default]
    Redoable,
    Labelled,
    Irreversible,
}

/// Which hosts drop each other's repeats of a labelled attachment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Circle {
    #[default]
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Offering {
    pub effect: Effect,
    pub circle: Circle,
    /// How long the circle remembers a labelled attachment.
    pub window: Nanos,
    pub payoff: f64,
    pub contract_time: Nanos,
    /// Within what time a message on the open connection is wanted.
    pub message_time: Nanos,
    /// Whether more of it may come; if not, some may be under way.
    pub offered: bool,
}

impl Offering {
    /// Whether it means the same, offered or not.
    pub fn same_terms(&self, other: &Offering) -> bool {
        *self
            == Offering {
                offered: self.offered,
                ..other.clone()
            }
    }
}

impl Default for Offering {
    fn default() -> Self {
        Offering {
            effect: Effect::Redoable,
            circle: Circle::All,
            window: 0,
            payoff: 1.0,
            contract_time: SECOND / 2,
            message_time: SECOND / 4,
            offered: true,
        }
    }
}

/// What a load report's value says of its host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gauge {
    /// Load asked for over what the host can do.
    Load,
    /// How busy its cores are, which cannot tell full from overrun.
    Busy,
    /// Seconds of work piled up.
    Backlog,
    /// Anything the module has no use for.
    Other,
}

/// The terms a node works under, handed to it once at its start.
#[derive(Clone, Debug)]
pub struct Charter {
    pub node: u32,
    pub nodes: u32,
    pub zone: u16,
    /// It decides for many nodes, and leaves no host to others.
    pub gathers: bool,
    /// The least time between two calls of the module.
    pub round: Nanos,
    pub offerings: Vec<Offering>,
    pub most_hand_offs: u32,
    /// The longest time that any client waits for its answer.
    pub longest_expiry: Nanos,
    pub may_call_off: bool,
    /// The longest wait a client heeds; 0 where advice is not passed on.
    pub longest_advice: Nanos,
    /// The roll comes only when asked for.
    pub roll_on_request: bool,
    pub ask_within: Nanos,
    pub cold: Nanos,
    pub cold_from: f64,
    pub tip_multiple: f64,
    pub tip_after: Nanos,
    /// Packets flow through: a connection may reach another node midway.
    pub pass: bool,
    pub groups: bool,
    pub cross_zone_charge: f64,
    pub move_charge: f64,
    pub gauges: Vec<Gauge>,
    /// Load reports come only by probes, and probes are allowed.
    pub probe_for_gauges: bool,
    /// Nodes may tell each other things.
    pub peers: bool,
    /// Whose turns at cold hosts are this node's to use, and how much of each; its own alone where none are told.
    pub turns: Vec<(u32, f64)>,
}

impl Charter {
    /// What may still come.
    pub fn offered(&self) -> impl Iterator<Item = &Offering> {
        self.offerings.iter().filter(|o| o.offered)
    }

    /// The shortest time within which any offering wants a message.
    pub fn shortest_message_time(&self) -> Nanos {
        self.offered()
            .map(|o| o.message_time)
            .min()
            .unwrap_or(SECOND)
    }
}

impl Default for Charter {
    fn default() -> Self {
        Charter {
            node: 0,
            nodes: 1,
            zone: 0,
            gathers: false,
            round: MILLI,
            offerings: Vec::new(),
            most_hand_offs: 3,
            longest_expiry: 3 * SECOND,
            may_call_off: false,
            longest_advice: 0,
            roll_on_request: false,
            ask_within: 10 * SECOND,
            cold: 10 * SECOND,
            cold_from: 0.2,
            tip_multiple: 3.0,
            tip_after: SECOND,
            pass: false,
            groups: false,
            cross_zone_charge: 0.0,
            move_charge: 0.0,
            gauges: Vec::new(),
            probe_for_gauges: false,
            peers: false,
            turns: Vec::new(),
        }
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    Ready,
    Draining,
    #[default]
    Gone,
}

/// One line of the roll of hosts.
#[derive(Clone, Copy, Debug, Default)]
pub struct Listing {
    pub id: HostId,
    pub zone: u16,
    pub cell: u64,
    pub standing: Standing,
    pub size: f64,
    pub started: Option<Nanos>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RollKind {
    Changes,
    Full,
    /// The whole roll as last seen before the start; may be stale.
    Cached,
    /// A call failed or the subscription was lost.
    Failed,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Arrival {
    pub id: AttachmentId,
    pub offering: usize,
    pub key: Option<u64>,
    pub group: Option<u64>,
    pub time_left: Nanos,
    /// Its usual load, as a share of a core.
    pub usual_load: Option<f64>,
    /// Already open, and now arriving midway at this node.
    pub midway: bool,
}

/// What became of an attachment before this node took it up.
#[derive(Clone, Debug, Default)]
pub struct Past {
    pub hand_offs: u32,
    /// The host of the first hand-off that may have run, and when that was sent.
    pub ran: Option<(HostId, Nanos)>,
    /// The hosts that it was handed to.
    pub tried: Vec<HostId>,
}

/// What is remembered of a client: how long its connections last, what the last one weighed, and when that
/// was seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Client {
    pub length: Option<f64>,
    pub load: Option<f64>,
    pub seen: Nanos,
}

/// What a process that another replaces has learned, and what that one is to hold to.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Legacy {
    /// By their keys.
    pub clients: Vec<(u64, Client)>,
    pub mean: Option<f64>,
    pub lived: f64,
    pub ended: f64,
    /// The usual load of each offering, in the order of the one who leaves it, and of all.
    pub usual: Vec<Option<f64>>,
    pub unit: Option<f64>,
    pub weighed: u32,
    pub set_up: f64,
    pub hosts: Vec<Regard>,
    pub trouble: f64,
    pub late: f64,
}

/// How a node regards one host.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Regard {
    pub id: HostId,
    pub newcomer: bool,
    /// Since when it is told to be draining, where it is.
    pub draining: Nanos,
    pub down: Option<Nanos>,
    pub masked_until: Nanos,
    pub strikes: u32,
    pub slowness: f64,
    pub slow_told: Nanos,
    pub ceiling: Option<f64>,
    pub good: f64,
    pub cut: Nanos,
    pub slowness_at_cut: f64,
    pub report: f64,
    pub reported: Nanos,
}

/// How a hand-off ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Done,
    Error,
    Refused,
    TimedOut,
    Unconnected,
    Broken,
    CalledOff,
    NeverSent,
    /// This machine knew no way to the host when it was called: its own trouble, or the host's where that lasts.
    Unroutable,
    /// It goes on in another process.
    PassedOn,
}

impl Ending {
    /// The word for it in log lines.
    pub fn word(self) -> &'static str {
        match self {
            Ending::Done => "done",
            Ending::Error => "error",
            Ending::Refused => "refused",
            Ending::TimedOut => "silent",
            Ending::Unconnected => "unconnected",
            Ending::Broken => "broken",
            Ending::CalledOff => "called-off",
            Ending::NeverSent => "never-sent",
            Ending::Unroutable => "unroutable",
            Ending::PassedOn => "passed-on",
        }
    }

    /// Whether this ending proves that the hand-off never ran.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Ending::Refused | Ending::Unconnected | Ending::NeverSent | Ending::Unroutable
        )
    }
}

#[derive(Clone, Debug)]
pub enum Event {
    Roll {
        kind: RollKind,
        hosts: Vec<Listing>,
    },
    Arrived(Arrival),
    /// One that another node took and could not bring to its answer.
    TakenUp(Arrival, Past),
    /// A connection that was open before this node started.
    Standing(Arrival, HostId),
    /// One that the process before this one has passed on, and since when it is open.
    PassedOn(Arrival, HostId, Nanos),
    Begun {
        id: AttachmentId,
        took: Nanos,
    },
    Ended {
        id: AttachmentId,
        hand_off: u32,
        host: HostId,
        over: bool,
        ending: Ending,
        gauges: Vec<f64>,
    },
    LoadNow {
        id: AttachmentId,
        load: f64,
    },
    MessageTime {
        host: HostId,
        time: Nanos,
    },
    Left {
        id: AttachmentId,
    },
    Timer {
        mark: u64,
    },
    /// This node is asked to stop: new connections come to others after `from`, and its clients are to
    /// be gone by `by`.
    Leaving {
        from: Nanos,
        by: Nanos,
    },
    /// It is to stay after all, and to work as before.
    Staying,
    /// New terms in place of the old, and which offerings of them stand where another stood. What is under
    /// way goes by its own offering, which is still there, and keeps its count of hand-offs.
    Renewed(Box<Charter>, Vec<usize>),
    /// Another process takes this one's place: it has its legacy, and takes in the clients; or has gone again.
    Successor(bool),
    /// What the process before this one has learned.
    Inherited(Box<Legacy>),
    Probed {
        host: HostId,
        ending: Ending,
        gauges: Vec<f64>,
    },
    /// Whose turns at cold hosts this node may use from here on, and how much of each.
    Turns(Vec<(u32, f64)>),
    /// The hosts that are this node's to look at from here on, each in each turn.
    Looks(Vec<HostId>),
    /// Another node's message, as it came.
    Heard {
        message: Vec<u8>,
    },
}

impl Event {
    /// The attachment that is already known and that the event speaks of.
    pub fn attachment(&self) -> Option<AttachmentId> {
        match self {
            Event::Begun { id, .. }
            | Event::Ended { id, .. }
            | Event::LoadNow { id, .. }
            | Event::Left { id } => Some(*id),
            _ => None,
        }
    }

    /// The host that the event names.
    pub fn host(&self) -> Option<HostId> {
        match self {
            Event::Standing(_, host) | Event::PassedOn(_, host, _) => Some(*host),
            Event::Ended { host, .. }
            | Event::MessageTime { host, .. }
            | Event::Probed { host, .. } => Some(*host),
            _ => None,
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// `until` is how long its answer is waited for, `by` the latest moment in which its line may go out.
    HandOff {
        id: AttachmentId,
        host: HostId,
        until: Nanos,
        by: Nanos,
    },
    /// Final: a retry is harmless; come back after the wait (0: no advice).
    Dismiss {
        id: AttachmentId,
        wait: Nanos,
    },
    /// Final: nothing is promised.
    GiveUp {
        id: AttachmentId,
    },
    /// Ends an open connection politely; its client comes again.
    Move {
        id: AttachmentId,
    },
    CallOff {
        id: AttachmentId,
        hand_off: u32,
    },
    WakeAt {
        time: Nanos,
        mark: u64,
    },
    AskRoll,
    FollowRoll,
    Probe {
        host: HostId,
    },
    /// To all other nodes; any of them may never hear it.
    Tell {
        message: Vec<u8>,
    },
    Log(String),
}
