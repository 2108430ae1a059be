//! The forwarder's side of the protocol, without I/O. A forwarder owns a pending request for each client connection
//! and a session with each planner, and follows one of the planners. It asks that planner to decide on its requests.
//! Requests that the planner cannot decide in time are placed by the fallback plan or get a final answer at once.
//!
//! Invariants, whether a planner or the forwarder decides: no decision is carried out after its lease or for an
//! earlier decision sequence, a request never has two attempts in flight, and no attempt is made that the request's
//! history forbids.

mod action;
mod config;
mod connections;
mod decisions;
mod drain_reports;
mod events;
mod host_table;
mod inbound;
mod planner_selection;
mod request_table;
mod shutdown;

pub use action::ForwarderAction;
pub use config::ForwarderConfig;

use crate::fallback_plan::FallbackPlan;
use crate::messages::ForwarderMessage;
use crate::pending_request::{PendingRequest, Phase};
use crate::planner_session::{ConnectionState, PlannerAddress, PlannerSession};
use host_table::HostTable;
use planner_selection::StateSync;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use reedferry::{Event, Nanos, SECOND};
use request_table::RequestTable;
use shutdown::Shutdown;

/// The number of unsent bytes above which the planner that is followed is sent no new requests, no loads and
/// latencies, and no further open connections of a state sync.
const ASK_BACKLOG_BYTES: usize = 256 << 10;
/// The minimum interval between two log lines on decisions that were made without a planner.
const LOCAL_DECISIONS_LOG_INTERVAL: Nanos = SECOND;

/// The decisions that were made without a planner since the last log line on them.
#[derive(Default)]
struct LocalDecisions {
    by_plan: u32,
    answered: u32,
    logged_at: Nanos,
}

/// A forwarder, without I/O.
pub struct Forwarder {
    config: ForwarderConfig,
    rng: ChaCha8Rng,
    /// The sessions with all planners, the most preferred planner first.
    sessions: Vec<PlannerSession>,
    last_connection: u32,
    /// The index of the session whose planner is followed.
    followed: Option<usize>,
    state_sync: StateSync,
    requests: RequestTable,
    fallback_plan: FallbackPlan,
    plan_valid_until: Nanos,
    hosts: HostTable,
    shutdown: Option<Shutdown>,
    last_called_at: Nanos,
    /// The time until which planners may still answer after a pause of this process.
    pause_grace_until: Nanos,
    /// Whether the lack of a planner needs no log line: it was logged, or no planner has been followed yet.
    no_planner_logged: bool,
    local_decisions: LocalDecisions,
}

impl Forwarder {
    /// Creates a forwarder, which connects to its planners at the first [`Forwarder::tick`].
    pub fn new(
        config: ForwarderConfig,
        planners: Vec<PlannerAddress>,
        seed: u64,
        now: Nanos,
    ) -> Self {
        let mut forwarder = Forwarder {
            config,
            rng: ChaCha8Rng::seed_from_u64(seed),
            sessions: Vec::new(),
            last_connection: 0,
            followed: None,
            state_sync: StateSync::default(),
            requests: RequestTable::default(),
            fallback_plan: FallbackPlan::default(),
            plan_valid_until: 0,
            hosts: HostTable::default(),
            shutdown: None,
            last_called_at: now,
            pause_grace_until: 0,
            no_planner_logged: true,
            local_decisions: LocalDecisions::default(),
        };
        forwarder.set_planners(now, planners, &mut Vec::new());
        forwarder
    }

    /// Returns the number of requests, including those with an open connection.
    pub fn request_count(&self) -> usize {
        self.requests.len()
    }

    /// Returns the name of the planner that is followed; `None` if there is none.
    pub fn followed_planner(&self) -> Option<&str> {
        self.followed
            .map(|index| self.sessions[index].planner.name.as_str())
    }

    /// Returns the name of the planner at the other end of a connection; `None` if the connection is unknown.
    pub fn planner_name(&self, connection: u32) -> Option<&str> {
        self.session_index(connection)
            .map(|index| self.sessions[index].planner.name.as_str())
    }

    /// Returns the bytes to send on a connection.
    pub fn outgoing(&self, connection: u32) -> &[u8] {
        self.session_index(connection)
            .map_or(&[], |index| self.sessions[index].writer.sendable())
    }

    /// Records that the first `count` bytes of [`Forwarder::outgoing`] were sent.
    pub fn mark_sent(&mut self, connection: u32, count: usize) {
        if let Some(index) = self.session_index(connection) {
            self.sessions[index].writer.mark_sent(count);
        }
    }

    /// Handles an event of a client connection.
    pub fn handle_event(&mut self, now: Nanos, event: Event, out: &mut Vec<ForwarderAction>) {
        self.detect_pause(now);
        // Selects another planner before the event. Without this, requests that arrive in the turn in which the
        // planner is lost would be answered as if there were no other.
        if !self.can_ask_planner(now) {
            self.select_planner(now, out);
        }
        self.dispatch_event(now, event, out);
    }

    /// Does everything that is due and ends the turn. To be called once a turn, after all other calls.
    pub fn tick(&mut self, now: Nanos, out: &mut Vec<ForwarderAction>) {
        self.detect_pause(now);
        self.maintain_connections(now, out);
        let ready = self.hosts.expire(now);
        out.extend(ready.into_iter().map(ForwarderAction::HostLearned));
        self.select_planner(now, out);
        self.synchronize_state(now, out);
        self.decide_overdue(now, out);
        self.migrate_share(now, out);
        for session in &mut self.sessions {
            session.send_heartbeat_if_due(now, self.config.lease);
            session.writer.finish_frame();
        }
        self.log_local_decisions(now, out);
    }

    /// Returns the time by which [`Forwarder::tick`] must be called next.
    pub fn next_deadline(&self) -> Nanos {
        let connections = self.sessions.iter().map(|session| match session.state {
            ConnectionState::Disconnected { retry_at } => retry_at,
            ConnectionState::Connecting { timeout_at } => timeout_at,
            ConnectionState::Established(_) => session.next_heartbeat_at().unwrap_or(Nanos::MAX),
        });
        let lease_end = self.followed.map(|index| self.sessions[index].lease_until);
        let migration = self.shutdown.as_ref().map(Shutdown::next_migration_at);
        [
            connections.min(),
            self.requests.next_decision_deadline(),
            lease_end,
            migration,
        ]
        .into_iter()
        .flatten()
        .min()
        .unwrap_or(Nanos::MAX)
    }

    /// Detects that this process was paused, during which planners had no heartbeat to answer, and then grants them
    /// time to answer. Without this, all waiting requests would be rejected after a pause, as if the planners were
    /// gone.
    fn detect_pause(&mut self, now: Nanos) {
        if now > self.last_called_at + self.config.lease / 2 {
            self.pause_grace_until = now + self.config.lease / 4;
        }
        self.last_called_at = now;
    }

    /// Sends a message to the planner that is followed.
    fn report(&mut self, message: &ForwarderMessage) {
        let Some(session) = self.followed.map(|index| &mut self.sessions[index]) else {
            return;
        };
        if let Some(number) = session.session() {
            let heartbeat = session.last_heartbeat();
            session.writer.append(number, heartbeat, message);
        }
    }

    /// Returns whether no planner is followed or more than [`ASK_BACKLOG_BYTES`] for it are unsent.
    fn is_backlogged(&self) -> bool {
        self.followed
            .is_none_or(|index| self.sessions[index].writer.unsent_bytes() > ASK_BACKLOG_BYTES)
    }

    fn log_local_decisions(&mut self, now: Nanos, out: &mut Vec<ForwarderAction>) {
        let LocalDecisions {
            by_plan,
            answered,
            logged_at,
        } = self.local_decisions;
        if (by_plan > 0 || answered > 0) && now >= logged_at + LOCAL_DECISIONS_LOG_INTERVAL {
            out.push(ForwarderAction::Log(format!(
                "decided without planner by_plan={by_plan} answered={answered}"
            )));
            self.local_decisions = LocalDecisions {
                logged_at: now,
                ..LocalDecisions::default()
            };
        }
    }
}

#[cfg(test)]
#[path = "forwarder_tests.rs"]
mod tests;
