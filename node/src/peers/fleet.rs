//! The fleet view on a socket: letters between members come and go here, and so do nodes' words to each other. It owns
//! that socket, the log lines on members, bounded when hundreds change at once, and the view as operators see it. It
//! must never decide who is alive, nor take in more of a flood than a turn's worth.

use crate::context::{mark, Context, FLEET, PEERS, START_WITHIN};
use crate::operators::node_config::NodeConfig;
use crate::peers::wards::ReplicationConfig;
use reedferry::{Event, HostId, Nanos, SECOND};
use reedferry_membership::{self as members, Action, Members, Role, State, Who, LONGEST_LETTER};
use reedferry_runtime::errors::retry_for;
use reedferry_runtime::log::LogRateLimit;
use reedferry_runtime::{Errno, Socket};
use serde_json::json;
use slog::{info, warn};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Datagrams read in one turn.
const A_TURN: usize = 256;
/// Lines on members in a second; the rest is counted.
const MOST_LINES: u32 = 32;
/// The first byte of a word, which no letter begins with.
const WORD: u8 = 0xff;
/// The same for what is about wards; a sum over the rest follows.
const WARD: u8 = 0xfe;
/// Of those, taken in in a turn.
const MOST_LETTERS: usize = 1024;

/// What the operator's file says of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// Where others reach it, and where it listens.
    pub address: SocketAddr,
    pub listen: SocketAddr,
    pub name: String,
    pub seeds: Vec<SocketAddr>,
    pub period: Nanos,
    pub most: usize,
    /// Where work in hand is to survive its node.
    pub wards: Option<ReplicationConfig>,
}

pub struct Fleet {
    core: Members,
    node_settings: FleetConfig,
    /// None while a process before this one still has it.
    socket: Option<Socket>,
    /// The moment at which the core is woken next.
    reminded: Option<Nanos>,
    /// Lines in this second, and what was left out.
    lines: LogRateLimit,
    /// How often what odd thing came since it was last said.
    odd: BTreeMap<&'static str, (Nanos, u32)>,
    /// What the module was told last: whose turns are its own, and which hosts it looks at, by which view and list.
    shares: Vec<(u32, f64)>,
    looks: Vec<u64>,
    looked_by: Option<(u64, u64)>,
    lending: bool,
    letters: Vec<(u32, Vec<u8>)>,
}

impl Fleet {
    pub fn open(
        context: &mut Context,
        node_settings: &FleetConfig,
        node_config: &NodeConfig,
    ) -> Result<Fleet, String> {
        let balancer_settings = &node_config.balancer_settings;
        let who = Who {
            name: node_config.name.clone(),
            address: node_settings.address,
            role: Role::Node,
            zone: node_config
                .node_settings
                .zones
                .get(usize::from(balancer_settings.zone))
                .cloned()
                .unwrap_or_default(),
            build: env!("CARGO_PKG_VERSION").to_string(),
            place: balancer_settings.node_index,
            roster: balancer_settings.node_count,
        };
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |t| t.as_millis() as u64);
        let fleet = crate::connections::protocol::keys::fnv1a(&node_settings.name) as u32;
        let FleetConfig {
            seeds,
            period,
            most,
            ..
        } = node_settings.clone();
        let core_terms = members::Terms {
            period,
            seeds,
            most,
            fleet,
        };
        let core = Members::new(who, core_terms, context.now, unix, node_config.seed ^ unix);
        let (lines, odd) = (LogRateLimit::new(MOST_LINES), BTreeMap::new());
        let (shares, looks) = (Vec::new(), Vec::new());
        let mut fleet = Fleet {
            core,
            node_settings: node_settings.clone(),
            socket: None,
            reminded: None,
            lines,
            odd,
            shares,
            looks,
            looked_by: None,
            lending: false,
            letters: Vec::new(),
        };
        match fleet.bind(context, START_WITHIN) {
            Ok(()) | Err(Errno::ADDRINUSE) => Ok(fleet),
            Err(e) => Err(format!(
                "cannot take letters on {}: {e}",
                node_settings.listen
            )),
        }
    }

    /// Takes letters, or tries to for so long.
    fn bind(&mut self, context: &mut Context, within: Duration) -> Result<(), Errno> {
        let socket = retry_for(within, || {
            context.budget.bind_datagram(&self.node_settings.listen)
        })?;
        retry_for(within, || context.poller.register(&socket, mark(PEERS)))?;
        let (seeds, period) = (
            self.node_settings.seeds.len(),
            self.node_settings.period / 1_000_000,
        );
        info!(context.log, "fleet"; "address" => %self.node_settings.address, "seeds" => seeds, "period_ms" => period);
        self.socket = Some(socket);
        self.handle(context, members::Event::Wake);
        Ok(())
    }

    fn handle(&mut self, context: &mut Context, event: members::Event) {
        let mut out = Vec::new();
        self.core.handle(context.now, event, &mut out);
        for action in out {
            match action {
                Action::Send { to, bytes } => {
                    // Whom it can't reach is found out by its silence.
                    self.socket
                        .iter()
                        .for_each(|socket| _ = socket.send_to(&bytes, &to));
                }
                Action::Changed {
                    name,
                    address,
                    before,
                    state,
                } if self.lines.allow(context.now) => {
                    let before = before.map_or("unknown", State::word);
                    info!(context.log, "member {}", state.word(); "name" => name, "address" => %address, "before" => before);
                }
                Action::Moved { name, from, to } if self.lines.allow(context.now) => {
                    info!(context.log, "member moved"; "name" => name, "from" => %from, "to" => %to);
                }
                // Counted by the limit.
                Action::Changed { .. } | Action::Moved { .. } => {}
                Action::WasGone => warn!(context.log, "others held this node gone"),
                Action::StoodStill(span) => {
                    warn!(context.log, "stood still"; "ms" => span / 1_000_000);
                    self.look(context, Vec::new());
                }
                Action::Superseded { by } => {
                    warn!(context.log, "another process has this node's name and started later; out of the fleet"; "at" => %by);
                }
                Action::Odd { why, from } => self.odd(context, why, from),
            }
        }
        let due = self.core.next();
        if due != Nanos::MAX && self.reminded.is_none_or(|at| due < at) {
            self.reminded = Some(due);
            context.poller.set_timer(due, mark(FLEET), 0);
        }
    }

    /// Each kind of odd thing is said once a minute, with how often it came since.
    fn odd(&mut self, context: &Context, why: &'static str, from: SocketAddr) {
        let (said, count) = self.odd.entry(why).or_insert((0, 0));
        *count += 1;
        if *said == 0 || context.now >= *said + 60 * SECOND {
            warn!(context.log, "letter dropped"; "why" => why, "from" => %from, "count" => *count);
            (*said, *count) = (context.now, 0);
        }
    }

    pub fn ready(&mut self, context: &mut Context) {
        let mut space = [0; LONGEST_LETTER + 1];
        for _ in 0..A_TURN {
            let Some(socket) = &self.socket else { return };
            let (length, from) = match socket.receive_from(&mut space) {
                Ok((length, Some(from))) => (length, from),
                Err(Errno::AGAIN) => return,
                // What a member that is away has the system say of an earlier letter.
                Ok((_, None)) | Err(_) => continue,
            };
            match space[..length] {
                [WORD, ref word @ ..] => {
                    let known = self
                        .core
                        .others()
                        .any(|m| m.who.address == from && m.state != State::Gone);
                    if known && word.len() <= reedferry::word::LONGEST {
                        context.events.push(Event::GossipReceived {
                            message: word.to_vec(),
                        });
                    } else {
                        self.odd(context, "a word of no member's", from);
                    }
                }
                [WARD, a, b, c, d, ref rest @ ..]
                    if self.core.place_at(from).is_some() && [a, b, c, d] == members::sum(rest) =>
                {
                    let place = self.core.place_at(from).unwrap_or(u32::MAX);
                    if self.letters.len() < MOST_LETTERS {
                        self.letters.push((place, rest.to_vec()));
                    }
                }
                [WARD, ..] => self.odd(context, "a ward of no member's, or garbled", from),
                ref bytes => self.handle(context, members::Event::Letter { from, bytes }),
            }
        }
        // Guards: the rest of a flood left lying, as the poller tells of each arrival once.
        if let Some(socket) = &self.socket {
            _ = context.poller.update_registration(socket, mark(PEERS));
        }
    }

    /// The moment that the core asked for, or one before it, has come.
    pub fn due(&mut self, context: &mut Context) {
        self.reminded = None;
        self.handle(context, members::Event::Wake);
    }

    /// Before anything is decided in a turn: what the module may use and do now. Guards: turns and duties of before a
    /// stand-still, which others have taken up.
    pub fn mind(&mut self, context: &mut Context) {
        if context.now > self.core.next() {
            self.handle(context, members::Event::Wake);
        }
        let shares = self.core.shares(context.now);
        if shares != self.shares {
            if self.lines.allow(context.now) {
                info!(context.log, "turns"; "of" => format!("{shares:?}"));
            }
            context
                .events
                .push(Event::SlowStartSlotsAssigned(shares.clone()));
            self.shares = shares;
        }
    }

    /// Whether any turns are shared now, and which hosts are to be looked at by this node.
    pub fn serve(&mut self, context: &mut Context, shares_turns: bool, looks: bool) {
        if std::mem::replace(&mut self.lending, shares_turns) != shares_turns {
            self.handle(context, members::Event::Lending(shares_turns));
        }
        let by = Some((self.core.digest(), context.hosts.list_count))
            .filter(|_| !self.core.holds_off(context.now));
        if looks && (by.is_none() || by != self.looked_by) {
            let mine = self.core.duties(context.now, context.hosts.ids());
            self.look(context, mine);
            self.looked_by = by;
        }
    }

    fn look(&mut self, context: &mut Context, mine: Vec<u64>) {
        // Those of a host that is new are told though none is this node's.
        if mine != self.looks
            || self
                .looked_by
                .is_none_or(|(_, lists)| lists != context.hosts.list_count)
        {
            context.events.push(Event::ProbeTargetsAssigned(
                mine.iter().map(|id| HostId(*id)).collect(),
            ));
            self.looks = mine;
        }
    }

    /// Tells all that are at work.
    pub fn tell(&self, word: &[u8]) {
        let datagram = [&[WORD], word].concat();
        for member in self
            .core
            .others()
            .filter(|m| matches!(m.state, State::Working | State::Suspect))
        {
            self.socket
                .iter()
                .for_each(|socket| _ = socket.send_to(&datagram, &member.who.address));
        }
    }

    /// What others said about wards, by their places.
    pub fn letters(&mut self) -> Vec<(u32, Vec<u8>)> {
        std::mem::take(&mut self.letters)
    }

    /// Sends a word about wards to the member of that place, if there is one.
    pub fn send_letter(&self, place: u32, bytes: &[u8]) {
        let datagram = [&[WARD], &members::sum(bytes)[..], bytes].concat();
        if let (Some(socket), Some(to)) = (&self.socket, self.core.address_of(place)) {
            _ = socket.send_to(&datagram, &to);
        }
    }

    /// Whether all that are known go by this roster.
    pub fn goes_by(&self, roster: u32) -> bool {
        self.core.me().0.roster == roster && self.core.one_roster()
    }

    /// In which life this process is.
    pub fn life(&self) -> u64 {
        self.core.me().1.life
    }

    /// This node says how it stands.
    pub fn stands(&mut self, context: &mut Context, state: State) {
        self.handle(context, members::Event::Stands(state));
    }

    pub fn ends(&mut self, context: &mut Context) {
        self.handle(context, members::Event::Ends);
    }

    /// Takes up other seeds and another place; the rest holds until the next start. Gives what does.
    pub fn renew(
        &mut self,
        context: &mut Context,
        node_settings: &FleetConfig,
        place: (u32, u32),
    ) -> bool {
        self.handle(context, members::Event::Seeds(node_settings.seeds.clone()));
        self.handle(
            context,
            members::Event::Placed {
                place: place.0,
                roster: place.1,
            },
        );
        self.node_settings.seeds = node_settings.seeds.clone();
        self.node_settings == *node_settings
    }

    pub fn sweep(&mut self, context: &mut Context) {
        if self.socket.is_none() {
            _ = self.bind(context, Duration::ZERO);
        }
        if let Some(count) = self.lines.take_suppressed(context.now) {
            info!(context.log, "members changed beside"; "count" => count);
        }
    }

    /// The view as operators see it.
    pub fn text(&self, now: Nanos, wards: Option<serde_json::Value>) -> String {
        let since = |then: Nanos| now.saturating_sub(then) / 1_000_000;
        let (me, age, state) = self.core.me();
        let member = |m: &members::Member| {
            json!({"name": m.who.name, "address": m.who.address, "role": m.who.role.word(), "zone": m.who.zone,
                "build": m.who.build, "place": m.who.place, "of": m.who.roster, "state": m.state.word(),
                "since_ms": since(m.since), "life": m.age.life, "word": m.age.word})
        };
        let members: Vec<_> = self.core.others().map(member).collect();
        let view = json!({"name": me.name, "address": me.address, "state": state.word(), "life": age.life,
            "word": age.word, "ill": self.core.ill(), "superseded": self.core.superseded(),
            "digest": format!("{:016x}", self.core.digest()), "still_ms": since(self.core.still()),
            "turns": self.shares, "looks": self.looks.len(), "wards": wards, "members": members});
        format!("{view}\n")
    }
}
