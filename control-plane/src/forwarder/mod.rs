//! The forwarder's end of the link. It owns a pending request for each connection of a client, the sessions with
//! all planners, and which planner it follows. What is to be decided goes to that planner; what it cannot
//! decide in time is settled by the fallback plan, or by a final answer at once. It must never carry out a
//! decision whose lease is over or that answers an earlier decision sequence, nor have two attempts of one
//! request in flight, nor one that the request's history forbids, whoever decides it.

mod action;
mod config;
mod connections;
mod decisions;
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

/// Unsent bytes for the planner that is followed from which on it is asked no more.
const ASK_BACKLOG_BYTES: usize = 256 << 10;
/// How often decisions that were made without a planner are logged.
const LOCAL_DECISIONS_LOG_INTERVAL: Nanos = SECOND;

/// What was decided without a planner since that was last logged.
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
    /// In the order of preference.
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
    /// Until when it waits for planners to answer after a pause of this process.
    pause_grace_until: Nanos,
    /// Whether it has been logged that no planner answers, or none has yet.
    no_planner_logged: bool,
    local_decisions: LocalDecisions,
}

impl Forwarder {
    /// A forwarder that is about to connect to its planners.
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

    /// Requests that are pending or open.
    pub fn request_count(&self) -> usize {
        self.requests.len()
    }

    /// The name of the planner that is followed.
    pub fn followed_planner(&self) -> Option<&str> {
        self.followed
            .map(|index| self.sessions[index].planner.name.as_str())
    }

    /// The name of the planner that a connection leads to.
    pub fn planner_name(&self, connection: u32) -> Option<&str> {
        self.session_index(connection)
            .map(|index| self.sessions[index].planner.name.as_str())
    }

    /// The bytes that are to be sent on a connection.
    pub fn outgoing(&self, connection: u32) -> &[u8] {
        self.session_index(connection)
            .map_or(&[], |index| self.sessions[index].writer.sendable())
    }

    /// So many bytes of [`Forwarder::outgoing`] were sent.
    pub fn mark_sent(&mut self, connection: u32, count: usize) {
        if let Some(index) = self.session_index(connection) {
            self.sessions[index].writer.mark_sent(count);
        }
    }

    /// Takes in an event of the clients' connections.
    pub fn handle_event(&mut self, now: Nanos, event: Event, out: &mut Vec<ForwarderAction>) {
        self.notice_pause(now);
        // Without this, what arrives in the turn in which a planner is lost would be answered as if there were no other.
        if !self.can_ask_planner(now) {
            self.select_planner(now, out);
        }
        self.dispatch_event(now, event, out);
    }

    /// Does what is due, and ends a turn: to be called once a turn, last.
    pub fn tick(&mut self, now: Nanos, out: &mut Vec<ForwarderAction>) {
        self.notice_pause(now);
        self.maintain_connections(now, out);
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

    /// When [`Forwarder::tick`] is wanted next at the latest.
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

    /// Notices that this process was paused: no planner had a heartbeat of it to answer. Without this, all that waits
    /// would be rejected after such a pause, as if the planners were gone.
    fn notice_pause(&mut self, now: Nanos) {
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

    /// Whether there is no planner to follow, or one that does not keep up with what is sent to it.
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
