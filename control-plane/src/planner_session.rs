//! A forwarder's session with one planner: whether it is connected, what the planner has said in this session,
//! and until when its lease holds. This module owns the session, the heartbeats and the lease. It must never
//! let a planner's lease outlast the lease time from a heartbeat that the planner had read: that long after
//! the heartbeat, the planner may have learned of a drain that it could not report.

use crate::codec::{FrameReader, FrameWriter, SequenceCheck};
use crate::messages::FrameHeader;
use reedferry::{HostId, Nanos};
use std::collections::{HashSet, VecDeque};
use std::net::SocketAddr;

/// Heartbeats in the time of a lease.
const HEARTBEATS_PER_LEASE: u64 = 8;
/// Heartbeats that are remembered: more than fall into a lease.
const MAX_REMEMBERED_HEARTBEATS: usize = 64;

/// A planner as the operator lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannerAddress {
    /// The planner's name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
}

/// Sorts planners by this forwarder's preference: rendezvous hashing, the highest hash first (highest random
/// weight, Thaler and Ravishankar 1998). Forwarders spread evenly over the planners, and when one comes or
/// goes only those move whose first it is or was.
pub fn sort_by_preference(forwarder: &str, planners: &mut [PlannerAddress]) {
    let hash = |planner: &PlannerAddress| crate::fingerprint([forwarder, &planner.name]);
    planners.sort_by(|a, b| hash(b).cmp(&hash(a)).then_with(|| a.name.cmp(&b.name)));
}

/// The state of the connection to a planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// Not connected.
    Disconnected {
        /// When to connect next.
        retry_at: Nanos,
    },
    /// Connecting, or connected without a [`Welcome`](crate::messages::Welcome) yet.
    Connecting {
        /// When to give up.
        timeout_at: Nanos,
    },
    /// In the session of this number.
    Established(u64),
}

/// The connection to one planner, with its session and lease.
pub struct PlannerSession {
    /// The caller's number for this connection.
    pub connection: u32,
    /// The planner.
    pub planner: PlannerAddress,
    /// The state of the connection.
    pub state: ConnectionState,
    /// Decodes what arrives.
    pub reader: FrameReader,
    /// Encodes what is to be sent.
    pub writer: FrameWriter,
    /// Checks the planner's frames.
    pub sequence_check: SequenceCheck,
    /// The heartbeats sent and when, the oldest first.
    heartbeats: VecDeque<(u64, Nanos)>,
    last_heartbeat: u64,
    next_heartbeat_at: Nanos,
    /// When the planner's lease ends.
    pub lease_until: Nanos,
    /// Since when the lease has held without a gap.
    pub healthy_since: Nanos,
    /// When the session began.
    pub established_at: Nanos,
    /// The planner has said that it shuts down.
    pub shutting_down: bool,
    /// Failed connects since the last session.
    pub failed_connects: u32,
    /// Why the session was last rejected, so that it is logged once.
    pub rejection: String,
    /// The hosts that the planner sent since the session began, until it has sent all.
    pub hosts_in_sync: Option<HashSet<HostId>>,
}

impl PlannerSession {
    /// A connection that is to be opened now.
    pub fn new(connection: u32, planner: PlannerAddress, now: Nanos) -> Self {
        PlannerSession {
            connection,
            planner,
            state: ConnectionState::Disconnected { retry_at: now },
            reader: FrameReader::default(),
            writer: FrameWriter::default(),
            sequence_check: SequenceCheck::default(),
            heartbeats: VecDeque::new(),
            last_heartbeat: 0,
            next_heartbeat_at: 0,
            lease_until: 0,
            healthy_since: 0,
            established_at: 0,
            shutting_down: false,
            failed_connects: 0,
            rejection: String::new(),
            hosts_in_sync: None,
        }
    }

    /// Whether the planner's lease holds now.
    pub fn has_lease(&self, now: Nanos) -> bool {
        self.session().is_some() && now < self.lease_until
    }

    /// The number of the session, if there is one.
    pub fn session(&self) -> Option<u64> {
        match self.state {
            ConnectionState::Established(session) => Some(session),
            _ => None,
        }
    }

    /// Drops all that belonged to the connection.
    pub fn reset(&mut self, state: ConnectionState) {
        *self = PlannerSession {
            state,
            failed_connects: self.failed_connects,
            rejection: std::mem::take(&mut self.rejection),
            ..PlannerSession::new(self.connection, self.planner.clone(), 0)
        };
    }

    /// The planner has accepted the session.
    pub fn establish(&mut self, session: u64, now: Nanos) {
        self.state = ConnectionState::Established(session);
        self.established_at = now;
        self.next_heartbeat_at = now;
        self.failed_connects = 0;
        self.hosts_in_sync = Some(HashSet::new());
        self.rejection = String::new();
    }

    /// Sends a heartbeat when one is due.
    pub fn send_heartbeat_if_due(&mut self, now: Nanos, lease: Nanos) {
        let Some(session) = self.session().filter(|_| now >= self.next_heartbeat_at) else {
            return;
        };
        // Without this, a frame opened before this process was paused would go out after the pause under a fresh
        // heartbeat.
        self.writer.finish_frame();
        self.last_heartbeat += 1;
        self.heartbeats.push_back((self.last_heartbeat, now));
        if self.heartbeats.len() > MAX_REMEMBERED_HEARTBEATS {
            self.heartbeats.pop_front();
        }
        self.next_heartbeat_at = now + lease / HEARTBEATS_PER_LEASE;
        self.writer.append_heartbeat(session, self.last_heartbeat);
    }

    /// When the next heartbeat is due, in a session.
    pub fn next_heartbeat_at(&self) -> Option<Nanos> {
        self.session().map(|_| self.next_heartbeat_at)
    }

    /// The heartbeat sent last.
    pub fn last_heartbeat(&self) -> u64 {
        self.last_heartbeat
    }

    /// Renews the lease by the heartbeat that a frame answers, and returns until when the frame's decisions hold;
    /// `None` if no such heartbeat was sent. One so old that it is forgotten renews nothing.
    pub fn renew_lease(&mut self, header: &FrameHeader, now: Nanos, lease: Nanos) -> Option<Nanos> {
        if header.heartbeat > self.last_heartbeat {
            return None;
        }
        while self
            .heartbeats
            .front()
            .is_some_and(|(heartbeat, _)| *heartbeat < header.heartbeat)
        {
            self.heartbeats.pop_front();
        }
        let sent_at = self
            .heartbeats
            .front()
            .filter(|(heartbeat, _)| *heartbeat == header.heartbeat)
            .map(|(_, sent_at)| *sent_at);
        let valid_until = sent_at.map_or(0, |sent_at| sent_at + lease);
        if valid_until > self.lease_until {
            if now >= self.lease_until && now < valid_until {
                self.healthy_since = now;
            }
            self.lease_until = valid_until;
        }
        Some(valid_until)
    }
}

#[cfg(test)]
#[path = "planner_session_tests.rs"]
mod tests;
