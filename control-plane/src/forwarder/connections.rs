//! The connections to all planners: connecting with backoff, receiving bytes, timeouts, and closing.

use super::{ConnectionState, Forwarder, ForwarderAction, PlannerAddress, PlannerSession};
use crate::messages::Hello;
use crate::planner_session::sort_by_preference;
use rand::Rng;
use reedferry::{Nanos, MILLI, SECOND};

/// The number of unsent bytes for a planner above which its connection is closed.
const MAX_BACKLOG_BYTES: usize = 4 << 20;
/// The maximum time from the start of a connect to the planner's welcome.
const CONNECT_TIMEOUT: Nanos = SECOND;
/// The backoff after the first failed connect, the number of times that it doubles, and its maximum, all before
/// jitter.
const MIN_BACKOFF: Nanos = 50 * MILLI;
const MAX_BACKOFF_DOUBLINGS: u32 = 5;
const MAX_BACKOFF: Nanos = SECOND;
/// The time since the sending of the last answered heartbeat, in lease times, after which a connection is closed.
const SILENCE_TIMEOUT_LEASES: u64 = 4;

impl Forwarder {
    /// Replaces the list of planners. Planners on both lists keep their sessions, and removed planners are
    /// disconnected.
    pub fn set_planners(
        &mut self,
        now: Nanos,
        mut planners: Vec<PlannerAddress>,
        out: &mut Vec<ForwarderAction>,
    ) {
        let followed = self.followed.map(|index| self.sessions[index].connection);
        sort_by_preference(&self.config.name, &mut planners);
        let mut previous = std::mem::take(&mut self.sessions);
        for planner in planners {
            match previous.iter().position(|s| s.planner == planner) {
                Some(found) => self.sessions.push(previous.remove(found)),
                None => {
                    self.last_connection += 1;
                    self.sessions
                        .push(PlannerSession::new(self.last_connection, planner, now));
                }
            }
        }
        for session in &previous {
            self.end_host_reports(now, session.session(), out);
            out.push(ForwarderAction::DisconnectPlanner {
                connection: session.connection,
            });
        }
        self.followed = followed.and_then(|connection| self.session_index(connection));
        if followed.is_some() && self.followed.is_none() {
            self.reset_planner_state();
        }
    }

    pub(super) fn session_index(&self, connection: u32) -> Option<usize> {
        self.sessions
            .iter()
            .position(|session| session.connection == connection)
    }

    /// Sends the greeting on a connection that [`ForwarderAction::ConnectPlanner`] asked for and that is now open.
    pub fn connected(&mut self, connection: u32) {
        let Some(index) = self.session_index(connection) else {
            return;
        };
        let session = &mut self.sessions[index];
        session.writer.append_greeting(&Hello {
            name: self.config.name.clone(),
            planner: session.planner.name.clone(),
            zone: self.config.balancer_settings.zone,
            epoch: self.config.epoch,
            fingerprint: self.config.fingerprint,
        });
    }

    /// Handles a connection that could not be opened or that has ended, and schedules the next connect.
    pub fn connection_lost(
        &mut self,
        now: Nanos,
        connection: u32,
        why: &str,
        out: &mut Vec<ForwarderAction>,
    ) {
        let Some(index) = self.session_index(connection) else {
            return;
        };
        let ended = self.sessions[index].session();
        self.end_host_reports(now, ended, out);
        let session = &mut self.sessions[index];
        if ended.is_some() {
            let name = &session.planner.name;
            out.push(ForwarderAction::Log(format!(
                "planner connection lost name={name} why={why} requests={}",
                self.requests.len()
            )));
        }
        // Adds jitter, so that the forwarders do not all connect at once to a planner that has restarted.
        let doublings = session.failed_connects.min(MAX_BACKOFF_DOUBLINGS);
        let backoff = (MIN_BACKOFF << doublings).min(MAX_BACKOFF);
        let backoff = (backoff as f64 * self.rng.random_range(0.5..1.5)) as Nanos;
        session.failed_connects += 1;
        session.reset(ConnectionState::Disconnected {
            retry_at: now + backoff,
        });
        if self.followed == Some(index) {
            self.followed = None;
            self.reset_planner_state();
        }
    }

    /// Records that a planner can no longer correct what it reported about hosts in a session.
    fn end_host_reports(
        &mut self,
        now: Nanos,
        session: Option<u64>,
        out: &mut Vec<ForwarderAction>,
    ) {
        if let Some(session) = session {
            let ready = self.hosts.end_session(now, session);
            out.extend(ready.into_iter().map(ForwarderAction::HostLearned));
        }
    }

    fn disconnect(&mut self, now: Nanos, index: usize, why: &str, out: &mut Vec<ForwarderAction>) {
        let connection = self.sessions[index].connection;
        out.push(ForwarderAction::DisconnectPlanner { connection });
        self.connection_lost(now, connection, why, out);
    }

    /// Handles bytes that arrived from a planner. Invalid bytes close this planner's connection and no other.
    pub fn receive(
        &mut self,
        now: Nanos,
        connection: u32,
        bytes: &[u8],
        out: &mut Vec<ForwarderAction>,
    ) {
        self.detect_pause(now);
        let Some(index) = self.session_index(connection) else {
            return;
        };
        let mut reader = std::mem::take(&mut self.sessions[index].reader);
        let result = reader.feed(bytes, |body| self.handle_frame(now, index, body, out));
        match result {
            Ok(()) => self.sessions[index].reader = reader,
            Err(why) => {
                let why = why.to_string();
                self.log_rejection(index, &why, out);
                self.disconnect(now, index, &why, out);
            }
        }
    }

    /// Logs the reason for which a session did not begin. The same reason is not logged again until a session begins.
    fn log_rejection(&mut self, index: usize, why: &str, out: &mut Vec<ForwarderAction>) {
        let session = &mut self.sessions[index];
        if session.session().is_none() && session.rejection != why {
            let name = &session.planner.name;
            out.push(ForwarderAction::Log(format!(
                "planner session rejected name={name} why={why}"
            )));
            session.rejection = why.to_string();
        }
    }

    /// Connects to the planners whose backoff is over, and closes connections on which no welcome arrives in time,
    /// that are silent, or whose peer does not read fast enough.
    pub(super) fn maintain_connections(&mut self, now: Nanos, out: &mut Vec<ForwarderAction>) {
        for index in 0..self.sessions.len() {
            let session = &mut self.sessions[index];
            match session.state {
                ConnectionState::Disconnected { retry_at } if now >= retry_at => {
                    session.state = ConnectionState::Connecting {
                        timeout_at: now + CONNECT_TIMEOUT,
                    };
                    out.push(ForwarderAction::ConnectPlanner {
                        connection: session.connection,
                        address: session.planner.address,
                    });
                }
                ConnectionState::Connecting { timeout_at } if now >= timeout_at => {
                    self.disconnect(now, index, "no welcome in time", out);
                }
                ConnectionState::Established(_) => self.check_health(now, index, out),
                _ => {}
            }
        }
    }

    fn check_health(&mut self, now: Nanos, index: usize, out: &mut Vec<ForwarderAction>) {
        let (session, lease) = (&self.sessions[index], self.config.lease);
        let lease_until = session.lease_until.max(session.established_at + lease);
        if now >= lease_until + (SILENCE_TIMEOUT_LEASES - 1) * lease {
            self.disconnect(now, index, "silent", out);
        } else if session.writer.unsent_bytes() > MAX_BACKLOG_BYTES {
            self.disconnect(now, index, "too many unsent bytes", out);
        }
    }
}
