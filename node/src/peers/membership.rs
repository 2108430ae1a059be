//! The socket of the fleet: sends and receives the messages of `reedferry_membership`, gossip about loads and replication
//! messages. This module owns that socket and the log lines about members, whose rate is limited because hundreds of
//! members may change at once. It reads a bounded number of datagrams per turn, and leaves every decision about who is
//! alive to `reedferry_membership`.

use crate::context::{token, Context, FLEET_TIMER, PEERS, START_TIMEOUT};
use crate::operators::node_config::NodeConfig;
use crate::peers::assignments::Assignments;
use crate::peers::{FleetConfig, PeersError};
use reedferry::{Event, Nanos, SECOND};
use reedferry_membership::{
    self as membership, checksum, Action, MemberInfo, MemberState, Membership, MembershipConfig,
    MessageError, Role, MAX_MESSAGE_BYTES,
};
use reedferry_runtime::errors::retry_for;
use reedferry_runtime::log::LogRateLimit;
use reedferry_runtime::{Errno, Socket};
use slog::{info, warn};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The maximum number of datagrams read in one turn.
const MAX_DATAGRAMS_PER_TURN: usize = 256;
/// The maximum number of replication messages kept in one turn; further ones are discarded.
const MAX_REPLICATION_MESSAGES_PER_TURN: usize = 1024;
/// The maximum number of log lines about members and quota per second; further ones are counted instead.
const MAX_LOG_LINES_PER_SECOND: u32 = 32;
/// The minimum interval between two log lines for the same reason of dropping, in nanoseconds.
const DROP_LOG_INTERVAL: Nanos = 60 * SECOND;
/// The first byte of a datagram with gossip about loads. No membership message begins with it.
const GOSSIP_TAG: u8 = 0xff;
/// The first byte of a datagram with a replication message, followed by the checksum of the message. No membership message
/// begins with it.
const REPLICATION_TAG: u8 = 0xfe;

/// A received replication message.
pub struct ReplicationDatagram {
    /// The member index of the sender.
    pub from: u32,
    /// The encoded message.
    pub bytes: Vec<u8>,
}

/// The reason why a datagram is dropped.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum DropReason {
    Membership(MessageError),
    TooLong,
    GossipFromNonMember,
    Replication,
}

impl fmt::Display for DropReason {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            DropReason::Membership(error) => error.fmt(f),
            DropReason::TooLong => f.write_str("longer than any message"),
            DropReason::GossipFromNonMember => {
                f.write_str("gossip from an address of no live member, or too long")
            }
            DropReason::Replication => f.write_str(
                "replication message from an address of no member, or with a wrong checksum",
            ),
        }
    }
}

/// The log state for one reason of dropping.
#[derive(Default)]
struct DropLog {
    /// The time of the last log line, or `None` if there was none.
    logged_at: Option<Nanos>,
    /// The number of messages dropped since then.
    count: u32,
}

/// The fleet to which this node belongs.
pub struct Fleet {
    pub(super) membership: Membership,
    config: FleetConfig,
    /// `None` while the predecessor still has the address.
    socket: Option<Socket>,
    /// The earliest timer set at the poller, or `None` if none is set.
    timer_at: Option<Nanos>,
    /// The limit of log lines about members and quota.
    pub(super) log_limit: LogRateLimit,
    dropped: BTreeMap<DropReason, DropLog>,
    pub(super) assignments: Assignments,
    /// The replication messages that were not taken yet.
    replication_inbox: Vec<ReplicationDatagram>,
}

impl Fleet {
    /// Joins the fleet and opens its socket. If the address is still in use by a predecessor, [`Fleet::sweep`] retries to open
    /// it.
    ///
    /// # Errors
    /// Returns the address and the error of the system if the socket cannot be opened for any other reason.
    pub fn open(
        context: &mut Context,
        config: &FleetConfig,
        node_config: &NodeConfig,
    ) -> Result<Fleet, PeersError> {
        let unix_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |t| t.as_millis() as u64);
        let membership_config = MembershipConfig {
            period: config.period,
            seeds: config.seeds.clone(),
            max_members: config.max_members,
            fleet_id: crate::connections::protocol::keys::fnv1a(&config.name) as u32,
        };
        let membership = Membership::new(
            member_info(config, node_config),
            membership_config,
            context.now,
            unix_ms,
            node_config.seed ^ unix_ms,
        );
        let mut fleet = Fleet {
            membership,
            config: config.clone(),
            socket: None,
            timer_at: None,
            log_limit: LogRateLimit::new(MAX_LOG_LINES_PER_SECOND),
            dropped: BTreeMap::new(),
            assignments: Assignments::default(),
            replication_inbox: Vec::new(),
        };
        match fleet.bind(context, START_TIMEOUT) {
            Ok(()) | Err(Errno::ADDRINUSE) => Ok(fleet),
            Err(e) => Err(PeersError::Membership(config.listen, e)),
        }
    }

    fn bind(&mut self, context: &mut Context, timeout: Duration) -> Result<(), Errno> {
        let socket = retry_for(timeout, || {
            context.budget.bind_datagram(&self.config.listen)
        })?;
        retry_for(timeout, || context.poller.register(&socket, token(PEERS)))?;
        let (seeds, period_ms) = (self.config.seeds.len(), self.config.period / 1_000_000);
        info!(context.log, "listening for membership messages"; "address" => %self.config.address, "seeds" => seeds, "period_ms" => period_ms);
        self.socket = Some(socket);
        self.handle(context, membership::Event::TimerFired);
        Ok(())
    }

    pub(super) fn handle(&mut self, context: &mut Context, event: membership::Event) {
        let mut actions = Vec::new();
        self.membership.handle(context.now, event, &mut actions);
        for action in actions {
            self.carry_out(context, action);
        }
        let due = self.membership.next_wakeup();
        if due != Nanos::MAX && self.timer_at.is_none_or(|at| due < at) {
            self.timer_at = Some(due);
            context.poller.set_timer(due, token(FLEET_TIMER), 0);
        }
    }

    fn carry_out(&mut self, context: &mut Context, action: Action) {
        match action {
            Action::Send { to, bytes } => self.send(&to, &bytes),
            Action::MemberChanged {
                name,
                address,
                previous,
                state,
            } if self.log_limit.allow(context.now) => {
                let before = previous.map_or("unknown", MemberState::label);
                info!(context.log, "member {}", state.label(); "name" => name, "address" => %address, "before" => before);
            }
            Action::MemberMoved { name, from, to } if self.log_limit.allow(context.now) => {
                info!(context.log, "member moved"; "name" => name, "from" => %from, "to" => %to);
            }
            // The rate limit counts the suppressed lines.
            Action::MemberChanged { .. } | Action::MemberMoved { .. } => {}
            Action::DeclaredDead => warn!(context.log, "other members declared this node dead"),
            Action::Stalled(span) => {
                warn!(context.log, "process stalled"; "ms" => span / 1_000_000);
                self.assign_probe_targets(context, Vec::new());
            }
            Action::Superseded { by } => {
                warn!(context.log, "another process has this node's name and started later; this process has left the fleet"; "at" => %by);
            }
            Action::MessageDropped { reason, from } => {
                self.on_dropped(context, DropReason::Membership(reason), from);
            }
        }
    }

    /// Sends a datagram and ignores errors: a member that cannot be reached is detected by its silence.
    fn send(&self, to: &SocketAddr, bytes: &[u8]) {
        if let Some(socket) = &self.socket {
            _ = socket.send_to(bytes, to);
        }
    }

    fn on_dropped(&mut self, context: &Context, reason: DropReason, from: SocketAddr) {
        let dropped = self.dropped.entry(reason).or_default();
        dropped.count += 1;
        let is_due = |at: Nanos| context.now >= at + DROP_LOG_INTERVAL;
        if dropped.logged_at.is_none_or(is_due) {
            let why = reason.to_string();
            warn!(context.log, "membership message dropped"; "why" => why, "from" => %from, "count" => dropped.count);
            dropped.logged_at = Some(context.now);
            dropped.count = 0;
        }
    }

    /// Reads the datagrams that have arrived, at most [`MAX_DATAGRAMS_PER_TURN`].
    pub fn on_readable(&mut self, context: &mut Context) {
        let mut buffer = [0; MAX_MESSAGE_BYTES + 1];
        for _ in 0..MAX_DATAGRAMS_PER_TURN {
            let Some(socket) = &self.socket else { return };
            match socket.receive_from(&mut buffer) {
                // The length is that of the datagram, of which the buffer may hold only the beginning.
                Ok((length, Some(from))) => match buffer.get(..length) {
                    Some(bytes) => self.on_datagram(context, from, bytes),
                    None => self.on_dropped(context, DropReason::TooLong, from),
                },
                Err(Errno::AGAIN) => return,
                // The system reports that an earlier message could not be delivered to a member.
                Ok((_, None)) | Err(_) => {}
            }
        }
        // Has the poller report the remaining datagrams again. It reports each arrival only once, so they would stay unread.
        if let Some(socket) = &self.socket {
            _ = context.poller.update_registration(socket, token(PEERS));
        }
    }

    fn on_datagram(&mut self, context: &mut Context, from: SocketAddr, bytes: &[u8]) {
        match bytes {
            [GOSSIP_TAG, message @ ..] => self.on_gossip(context, from, message),
            [REPLICATION_TAG, rest @ ..] => self.on_replication_message(context, from, rest),
            bytes => self.handle(context, membership::Event::MessageReceived { from, bytes }),
        }
    }

    fn on_gossip(&mut self, context: &mut Context, from: SocketAddr, message: &[u8]) {
        let is_member = self
            .membership
            .others()
            .any(|member| member.info.address == from && member.state != MemberState::Dead);
        if is_member && message.len() <= reedferry::gossip::MAX_MESSAGE_BYTES {
            context.events.push(Event::GossipReceived {
                message: message.to_vec(),
            });
        } else {
            self.on_dropped(context, DropReason::GossipFromNonMember, from);
        }
    }

    fn on_replication_message(&mut self, context: &mut Context, from: SocketAddr, rest: &[u8]) {
        let message = rest
            .split_first_chunk()
            .filter(|(sent, message)| **sent == checksum(message));
        let sender = self.membership.member_index_at(from);
        let (Some((_, message)), Some(from)) = (message, sender) else {
            return self.on_dropped(context, DropReason::Replication, from);
        };
        if self.replication_inbox.len() < MAX_REPLICATION_MESSAGES_PER_TURN {
            self.replication_inbox.push(ReplicationDatagram {
                from,
                bytes: message.to_vec(),
            });
        }
    }

    /// Handles a timer set for [`Membership::next_wakeup`], which may fire earlier than needed.
    pub fn on_timer(&mut self, context: &mut Context) {
        self.timer_at = None;
        self.handle(context, membership::Event::TimerFired);
    }

    /// Sends a gossip message to all members that are active or suspect.
    pub fn broadcast_gossip(&self, message: &[u8]) {
        let datagram = [&[GOSSIP_TAG], message].concat();
        let is_active =
            |state: MemberState| matches!(state, MemberState::Active | MemberState::Suspect);
        for member in self.membership.others().filter(|m| is_active(m.state)) {
            self.send(&member.info.address, &datagram);
        }
    }

    /// Takes the replication messages received since the last call.
    pub fn take_replication_messages(&mut self) -> Vec<ReplicationDatagram> {
        std::mem::take(&mut self.replication_inbox)
    }

    /// Sends a replication message to the member with this index, if there is one.
    pub fn send_replication_message(&self, to: u32, bytes: &[u8]) {
        if let Some(address) = self.membership.address_of(to) {
            let datagram = [&[REPLICATION_TAG], &checksum(bytes)[..], bytes].concat();
            self.send(&address, &datagram);
        }
    }

    /// Returns whether this node and all known members are configured with this cluster size.
    pub fn agrees_on_cluster_size(&self, cluster_size: u32) -> bool {
        self.membership.info().cluster_size == cluster_size
            && self.membership.agrees_on_cluster_size()
    }

    /// Returns the incarnation of this process.
    pub fn incarnation(&self) -> u64 {
        self.membership.version().incarnation
    }

    /// Announces this node's state to the fleet.
    pub fn announce(&mut self, context: &mut Context, state: MemberState) {
        self.handle(context, membership::Event::StateChanged(state));
    }

    /// Leaves the fleet, as the process ends.
    pub fn leave(&mut self, context: &mut Context) {
        self.handle(context, membership::Event::Shutdown);
    }

    /// Applies new seeds, a new member index and a new cluster size; all other changes take effect at the next start. Returns
    /// whether the whole configuration is in effect.
    pub fn reload(
        &mut self,
        context: &mut Context,
        config: &FleetConfig,
        member_index: u32,
        cluster_size: u32,
    ) -> bool {
        self.handle(
            context,
            membership::Event::SeedsChanged(config.seeds.clone()),
        );
        self.handle(
            context,
            membership::Event::PlacementChanged {
                member_index,
                cluster_size,
            },
        );
        self.config.seeds.clone_from(&config.seeds);
        self.config == *config
    }

    /// Retries to open the socket if it is not open, and logs the number of suppressed log lines. Called at a fixed interval.
    pub fn sweep(&mut self, context: &mut Context) {
        if self.socket.is_none() {
            _ = self.bind(context, Duration::ZERO);
        }
        if let Some(count) = self.log_limit.take_suppressed(context.now) {
            info!(context.log, "membership log lines suppressed"; "count" => count);
        }
    }
}

fn member_info(config: &FleetConfig, node_config: &NodeConfig) -> MemberInfo {
    let balancer_settings = &node_config.balancer_settings;
    let zone = usize::from(balancer_settings.zone);
    let zones = &node_config.node_settings.zones;
    MemberInfo {
        name: node_config.name.clone(),
        address: config.address,
        role: Role::Node,
        zone: zones.get(zone).cloned().unwrap_or_default(),
        build: env!("CARGO_PKG_VERSION").to_string(),
        member_index: balancer_settings.node_index,
        cluster_size: balancer_settings.node_count,
    }
}
