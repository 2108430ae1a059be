//! The planner's side of the protocol, without I/O. A planner owns the sessions of forwarders, a record of each
//! request that they reported, and a decision core for each zone, which alone chooses hosts and answers.
//!
//! Invariants:
//! - No decision is based on a message that was read after the endpoint list. The caller therefore reads forwarders
//!   first and discovery after them in each turn.
//! - A forwarder is sent no decision on a request for which it no longer follows the planner.
//! - The requests, sessions and unsent bytes that are kept for forwarders are bounded.

mod action;
mod cleanup;
mod config;
mod handshake;
mod host_table;
mod inbound;
mod placement;
mod request_table;
mod session;
mod zone;

pub use action::PlannerAction;
pub use config::PlannerConfig;

use host_table::HostTable;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use reedferry::{
    Balancer, BalancerSettings, Endpoint, EndpointUpdate, Event, Nanos, MILLI, SECOND,
};
use request_table::{RecordKey, RequestTable};
use session::Session;
use slab::Slab;
use std::collections::{HashMap, VecDeque};
use zone::Zone;

use crate::messages::{HostEntry, PlannerMessage};

/// The maximum number of sessions, including connections without a greeting yet.
pub const MAX_SESSIONS: usize = 1024;
/// The number of unsent bytes for a forwarder above which its connection is closed.
const MAX_BACKLOG_BYTES: usize = 4 << 20;
/// The time after which a connection without a greeting is closed.
const GREETING_TIMEOUT: Nanos = SECOND;
/// The maximum time to the next turn: the first while requests are queued or orphans are left, the second otherwise.
const BUSY_TURN_INTERVAL: Nanos = MILLI;
const IDLE_TURN_INTERVAL: Nanos = 25 * MILLI;
/// The factor by which the overload factor of the decision cores is multiplied. A forwarder may start an attempt up to
/// one lease after the decision, so the attempts of three slow-start slots of a host can fall into one overload
/// window, where only those of two slots can at a single node.
const SLOW_START_OVERLAP: f64 = 2.0 / 3.0;

/// A planner, without I/O.
pub struct Planner {
    config: PlannerConfig,
    rng: ChaCha8Rng,
    started_at: Nanos,
    zones: Vec<Zone>,
    sessions: Slab<Session>,
    session_by_connection: HashMap<u32, usize>,
    requests: RequestTable,
    /// The keys of records without a session that are still to be removed from the decision cores.
    orphans: VecDeque<RecordKey>,
    hosts: HostTable,
    /// Whether the endpoint list may lack a drain that counts as delivered, so that no attempt may start.
    endpoints_stale: bool,
    shutting_down: bool,
    placement_requests: u64,
}

impl Planner {
    /// Creates a planner without sessions and hosts. `out` gets the first actions of its decision cores.
    pub fn new(config: PlannerConfig, seed: u64, now: Nanos, out: &mut Vec<PlannerAction>) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let zones = (0..config.zone_count.max(1))
            .map(|zone| {
                let settings = zone_settings(&config, zone);
                let mut actions = Vec::new();
                let balancer = Balancer::new(settings, rng.random(), now, &mut actions);
                Zone::new(balancer, actions)
            })
            .collect();
        let mut planner = Planner {
            config,
            rng,
            started_at: now,
            zones,
            sessions: Slab::new(),
            session_by_connection: HashMap::new(),
            requests: RequestTable::default(),
            orphans: VecDeque::new(),
            hosts: HostTable::default(),
            endpoints_stale: false,
            shutting_down: false,
            placement_requests: 0,
        };
        for zone in 0..planner.zones.len() {
            planner.carry_out_actions(now, zone, out);
        }
        planner
    }

    /// Returns the number of requests on record, including open connections.
    pub fn request_count(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of forwarders that follow this planner.
    pub fn follower_count(&self) -> usize {
        self.sessions.iter().filter(|(_, s)| s.follows).count()
    }

    /// Returns the number of placements that were requested since the start.
    pub fn placement_requests(&self) -> u64 {
        self.placement_requests
    }

    /// Accepts an incoming connection, or closes it if there are [`MAX_SESSIONS`] already.
    pub fn accept(&mut self, now: Nanos, connection: u32, out: &mut Vec<PlannerAction>) {
        if self.sessions.len() >= MAX_SESSIONS {
            out.push(PlannerAction::Log(
                "forwarder rejected why=too many sessions".into(),
            ));
            return out.push(PlannerAction::Disconnect { connection });
        }
        let key = self.sessions.insert(Session::new(connection, now));
        self.session_by_connection.insert(connection, key);
    }

    /// Handles the end of a connection, whose session is released and removed.
    pub fn connection_lost(&mut self, connection: u32, why: &str, out: &mut Vec<PlannerAction>) {
        if let Some(key) = self.session_by_connection.remove(&connection) {
            self.release_session(key, why, out);
            self.sessions.remove(key);
        }
    }

    /// Returns the bytes to send on a connection.
    pub fn outgoing(&self, connection: u32) -> &[u8] {
        self.session_by_connection
            .get(&connection)
            .map_or(&[], |&key| self.sessions[key].writer.sendable())
    }

    /// Records that the first `count` bytes of [`Planner::outgoing`] were sent.
    pub fn mark_sent(&mut self, connection: u32, count: usize) {
        if let Some(&key) = self.session_by_connection.get(&connection) {
            self.sessions[key].writer.mark_sent(count);
        }
    }

    /// Decodes and checks bytes that arrived from a forwarder. A greeting is answered now, and messages are kept for
    /// [`Planner::decide`]. Invalid bytes close the connection.
    pub fn receive(
        &mut self,
        now: Nanos,
        connection: u32,
        bytes: &[u8],
        out: &mut Vec<PlannerAction>,
    ) {
        let Some(&key) = self.session_by_connection.get(&connection) else {
            return;
        };
        if self.sessions[key].closing {
            return;
        }
        let mut reader = std::mem::take(&mut self.sessions[key].reader);
        let result = reader.feed(bytes, |body| match self.sessions[key].number {
            None => self.handle_greeting(key, body, out),
            Some(number) => self.sessions[key].receive_frame(number, body),
        });
        match result {
            Ok(()) => {
                self.sessions[key].reader = reader;
                self.sessions[key].last_received_at = now;
            }
            Err(why) => self.close_session(key, &why.to_string(), out),
        }
    }

    /// Applies an update of the endpoint list. `entries` describe the same hosts for forwarders.
    pub fn update_hosts(
        &mut self,
        now: Nanos,
        kind: EndpointUpdate,
        endpoints: Vec<Endpoint>,
        entries: Vec<HostEntry>,
        out: &mut Vec<PlannerAction>,
    ) {
        self.hosts.update(kind, &endpoints, entries);
        let sent_to_all = self
            .sessions
            .iter()
            .filter(|(_, session)| session.number.is_some())
            .map(|(_, session)| session.sent_change)
            .min();
        self.hosts
            .remove_gone(sent_to_all.unwrap_or(self.hosts.last_change()));
        for zone in 0..self.zones.len() {
            self.zones[zone].invalidate_plan();
            let endpoints = endpoints.clone();
            self.notify_core(now, zone, Event::EndpointsUpdated { kind, endpoints }, out);
        }
    }

    /// Records that the list service has sent its list of this version. To be called before the update that it brings.
    pub fn confirm_hosts(&mut self, list_version: u64) {
        self.hosts.confirm(list_version);
    }

    /// Sets whether the endpoint list may be stale. Meanwhile no attempt is started, and the fallback plans are empty.
    pub fn set_endpoints_stale(&mut self, stale: bool) {
        if std::mem::replace(&mut self.endpoints_stale, stale) != stale {
            self.zones.iter_mut().for_each(Zone::invalidate_plan);
        }
    }

    /// Reports the end of a load probe to the decision cores of all zones.
    pub fn probe_ended(&mut self, now: Nanos, event: &Event, out: &mut Vec<PlannerAction>) {
        for zone in 0..self.zones.len() {
            self.notify_core(now, zone, event.clone(), out);
        }
    }

    /// Handles a timer that [`PlannerAction::SetTimer`] asked for. An unknown zone is ignored.
    pub fn timer_fired(&mut self, now: Nanos, zone: u16, timer: u64, out: &mut Vec<PlannerAction>) {
        if usize::from(zone) < self.zones.len() {
            self.notify_core(now, zone.into(), Event::TimerFired { timer }, out);
        }
    }

    /// Begins the graceful shutdown and asks the forwarders to follow another planner.
    pub fn shut_down(&mut self, out: &mut Vec<PlannerAction>) {
        self.shutting_down = true;
        out.push(PlannerAction::Log(format!(
            "shutting down followers={} requests={}",
            self.follower_count(),
            self.request_count()
        )));
        for (_, session) in &mut self.sessions {
            if session.number.is_some() {
                session.send(&PlannerMessage::ShuttingDown);
                session.writer.finish_frame();
            }
        }
    }

    /// Handles the messages that have arrived since the last turn, decides, and encodes the frames to send. To be
    /// called once a turn, after discovery was read.
    pub fn decide(&mut self, now: Nanos, out: &mut Vec<PlannerAction>) {
        let keys: Vec<usize> = self.sessions.iter().map(|(key, _)| key).collect();
        for &key in &keys {
            if !self.sessions[key].closing {
                self.handle_inbox(now, key, out);
            }
        }
        self.remove_orphans(now, out);
        for zone in 0..self.zones.len() {
            self.place_queued(now, zone, out);
        }
        for &key in &keys {
            self.finish_session_turn(now, key, out);
        }
    }

    /// Ends the turn for one session: checks its timeouts and backlog, sends hosts and the fallback plan, and answers
    /// its heartbeat.
    fn finish_session_turn(&mut self, now: Nanos, key: usize, out: &mut Vec<PlannerAction>) {
        let session = &mut self.sessions[key];
        if session.closing {
            return;
        }
        let Some(number) = session.number else {
            if now >= session.last_received_at + GREETING_TIMEOUT {
                self.close_session(key, "no greeting in time", out);
            }
            return;
        };
        if now >= session.last_received_at + self.config.silence_timeout {
            return self.close_session(key, "silent", out);
        }
        if session.writer.unsent_bytes() > MAX_BACKLOG_BYTES {
            return self.close_session(key, "too many unsent bytes", out);
        }
        session.send_host_changes(&self.hosts);
        let zone = &mut self.zones[session.zone];
        let warm_up = self.config.balancer_settings.warm_up;
        let plan_hosts = (!self.endpoints_stale).then_some(&self.hosts);
        session.send_plan(now, zone, plan_hosts, warm_up);
        session.finish_frame(number);
    }

    /// Returns the time by which [`Planner::decide`] must be called next, even if no bytes arrive and no timer fires.
    pub fn next_deadline(&self, now: Nanos) -> Nanos {
        let busy = !self.orphans.is_empty() || self.zones.iter().any(|z| !z.queue.is_empty());
        now + if busy {
            BUSY_TURN_INTERVAL
        } else {
            IDLE_TURN_INTERVAL
        }
    }

    /// Hands an event to a zone's decision core and carries out its actions.
    fn notify_core(&mut self, now: Nanos, zone: usize, event: Event, out: &mut Vec<PlannerAction>) {
        self.zones[zone].handle(now, event);
        self.carry_out_actions(now, zone, out);
    }
}

/// Returns the settings of a zone's decision core. The core counts as one node of as many as there are zones at all
/// planners together.
fn zone_settings(config: &PlannerConfig, zone: u16) -> BalancerSettings {
    let zone_count = u32::from(config.zone_count.max(1));
    BalancerSettings {
        node_index: config.planner_index * zone_count + u32::from(zone),
        node_count: config.planner_count.max(1) * zone_count,
        zone,
        // Without this, each core would leave some hosts to the others, and a host left out by all of a few cores
        // would stay idle.
        centralized: true,
        overload_factor: config.balancer_settings.overload_factor * SLOW_START_OVERLAP,
        ..config.balancer_settings.clone()
    }
}

#[cfg(test)]
#[path = "planner_tests.rs"]
mod tests;
