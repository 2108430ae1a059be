//! A forwarder's session with one planner: the state of the connection, the heartbeats and the planner's lease.
//!
//! Invariant: a planner's lease ends at the latest one lease time after the sending of a heartbeat that the planner
//! has read. Later than that, the planner may have learned of a drain that it could not report.

use crate::codec::{FrameReader, FrameWriter, SequenceCheck};
use crate::messages::FrameHeader;
use reedferry::{HostId, Nanos};
use std::collections::{HashSet, VecDeque};
use std::net::SocketAddr;

/// The number of heartbeats that are sent per lease time.
const HEARTBEATS_PER_LEASE: u64 = 8;
/// The number of sent heartbeats that are remembered, which is more than are sent per lease time.
const MAX_REMEMBERED_HEARTBEATS: usize = 64;

/// A planner on the operator's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannerAddress {
    /// The planner's name.
    pub name: String,
    /// The address on which the planner listens.
    pub address: SocketAddr,
}

/// Sorts planners by the preference of `forwarder`, the most preferred first. The order is that of rendezvous hashing
/// (highest random weight, Thaler and Ravishankar 1998): forwarders spread evenly over the planners, and when a
/// planner is added or removed, only the forwarders that prefer it to all others change their first choice.
pub fn sort_by_preference(forwarder: &str, planners: &mut [PlannerAddress]) {
    let hash = |planner: &PlannerAddress| crate::fingerprint([forwarder, &planner.name]);
    planners.sort_by(|a, b| hash(b).cmp(&hash(a)).then_with(|| a.name.cmp(&b.name)));
}

/// The state of the connection to a planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// There is no connection.
    Disconnected {
        /// The time of the next attempt to connect.
        retry_at: Nanos,
    },
    /// The connection is being opened, or is open and no [`Welcome`](crate::messages::Welcome) has arrived yet.
    Connecting {
        /// The time at which the connection is given up.
        timeout_at: Nanos,
    },
    /// The planner accepted the session and gave it this number.
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
    /// Decodes the planner's frames.
    pub reader: FrameReader,
    /// Encodes the frames to the planner.
    pub writer: FrameWriter,
    /// Checks the session and sequence numbers of the planner's frames.
    pub sequence_check: SequenceCheck,
    /// The numbers of the sent heartbeats with the times of sending, the oldest first.
    heartbeats: VecDeque<(u64, Nanos)>,
    last_heartbeat: u64,
    next_heartbeat_at: Nanos,
    /// The time at which the planner's lease ends; 0 before the first lease.
    pub lease_until: Nanos,
    /// The time since which the lease has held without a gap.
    pub healthy_since: Nanos,
    /// The time at which the session began.
    pub established_at: Nanos,
    /// Whether the planner has announced its shutdown.
    pub shutting_down: bool,
    /// The number of failed or lost connections since a session last began.
    pub failed_connects: u32,
    /// The reason that was last logged for a session that did not begin, so that it is not logged again. Empty if
    /// none.
    pub rejection: String,
    /// The hosts that the planner has sent in this session; `None` outside a session and once the planner has sent
    /// all.
    pub hosts_in_sync: Option<HashSet<HostId>>,
}

impl PlannerSession {
    /// Creates the session with a planner. Its connection is due to be opened at once.
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

    /// Returns whether there is a session and the planner's lease holds.
    pub fn has_lease(&self, now: Nanos) -> bool {
        self.session().is_some() && now < self.lease_until
    }

    /// Returns the number of the session; `None` if there is no session.
    pub fn session(&self) -> Option<u64> {
        match self.state {
            ConnectionState::Established(session) => Some(session),
            _ => None,
        }
    }

    /// Drops the state of the connection and keeps what must outlast it: the number of failed connects and the logged
    /// rejection.
    pub fn reset(&mut self, state: ConnectionState) {
        *self = PlannerSession {
            state,
            failed_connects: self.failed_connects,
            rejection: std::mem::take(&mut self.rejection),
            ..PlannerSession::new(self.connection, self.planner.clone(), 0)
        };
    }

    /// Begins the session with the number that the planner gave it.
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
        // Ends the open frame. Without this, a frame begun before a pause of this process would be sent after the
        // pause together with a new heartbeat.
        self.writer.finish_frame();
        self.last_heartbeat += 1;
        self.heartbeats.push_back((self.last_heartbeat, now));
        if self.heartbeats.len() > MAX_REMEMBERED_HEARTBEATS {
            self.heartbeats.pop_front();
        }
        self.next_heartbeat_at = now + lease / HEARTBEATS_PER_LEASE;
        self.writer.append_heartbeat(session, self.last_heartbeat);
    }

    /// Returns the time at which the next heartbeat is due; `None` if there is no session.
    pub fn next_heartbeat_at(&self) -> Option<Nanos> {
        self.session().map(|_| self.next_heartbeat_at)
    }

    /// Returns the number of the last heartbeat; 0 before the first.
    pub fn last_heartbeat(&self) -> u64 {
        self.last_heartbeat
    }

    /// Renews the lease from the sending time of the heartbeat that a frame answers, and returns the time until which
    /// the frame's decisions hold. Returns `None` if the heartbeat was never sent, and 0 if it is so old that its
    /// sending time is no longer known.
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
