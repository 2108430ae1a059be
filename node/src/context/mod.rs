//! What the components of a process share while they work: the clock's reading for this turn, the poller, the budgets, the
//! hosts, and the events gathered for the decision core. It must never act by itself.

mod components;
mod open;
mod shutdown;

pub use components::*;
pub use open::START_TIMEOUT;
pub use shutdown::MAX_MIGRATION_WAIT;

use crate::discovery::hosts::Hosts;
use crate::operators::counters::Counter;
use crate::operators::metrics::Metrics;
use crate::turn::Turn;
use reedferry::{Event, Nanos, RequestClass, MILLI};
use reedferry_runtime::log::LogRateLimit;
use reedferry_runtime::{BufferPool, Clock, DescriptorBudget, Errno, PollToken, Poller, Socket};
use reedferry_settings::NodeSettings;
use slog::{info, Logger};
use std::ops::Range;

/// How late a turn begins where that is logged.
const LATE_TURN: Nanos = 50 * MILLI;
/// Free descriptors from which there are enough again.
const ENOUGH_DESCRIPTORS: usize = 8;

/// The token of a component that has one socket or timer.
pub fn token(component: u8) -> PollToken {
    PollToken {
        component,
        slot: 0,
        generation: 0,
    }
}

/// What the components of a process share.
pub struct Context {
    /// The clock's reading for this turn.
    pub now: Nanos,
    /// For what has to be judged by the moment itself, not by the turn's one reading.
    pub clock: Clock,
    /// When this process started.
    pub start: Nanos,
    /// The last turn that served all that was ready.
    caught_up: Nanos,
    /// How the current turn began.
    pub turn: Turn,
    /// What reports ready sockets and due timers.
    pub poller: Poller,
    /// The descriptors that this process may use.
    pub budget: DescriptorBudget,
    /// The buffers that this process may use.
    pub pool: BufferPool,
    /// The hosts of the endpoint list.
    pub hosts: Hosts,
    /// The settings beside those of the decision core.
    pub settings: NodeSettings,
    /// The request classes, in the order of their names in the settings.
    pub classes: Vec<RequestClass>,
    /// Events gathered for the decision core.
    pub events: Vec<Event>,
    /// Where log lines go.
    pub log: Logger,
    /// The generation of the last token that was dealt out.
    pub last_generation: u32,
    /// From when the process may end, once it has been asked to stop.
    pub may_end_at: Option<Nanos>,
    /// When a node that stands by must hold no client any more.
    pub standby_deadline: Option<Nanos>,
    /// The same where the process has been asked to stop.
    pub shutdown_deadline: Option<Nanos>,
    /// The metrics.
    pub metrics: Metrics,
    /// The limit of log lines on turns that began late.
    late_turn_lines: LogRateLimit,
    /// The limit of log lines on single requests.
    pub request_lines: LogRateLimit,
    /// Whether new work was last held off for want of descriptors or buffers.
    pub resource_shortage: bool,
    /// From when to when no new attempts may go to hosts, unless discovery is heard from before.
    pub stale_window: Range<Nanos>,
}

impl Context {
    /// Begins a turn at `now`, after a wait that began at `waited`, and returns when the turn before began. `behind` where that one
    /// left something that was ready.
    pub fn begin_turn(&mut self, waited: Nanos, now: Nanos, behind: bool) -> Nanos {
        let previous = std::mem::replace(&mut self.now, now);
        if !behind {
            self.caught_up = previous;
        }
        self.hosts.stalls.record_turn(self.caught_up, waited, now);
        self.turn.begin(self.poller.next_deadline(), waited, now);
        if self.turn.lateness() > LATE_TURN && self.late_turn_lines.allow(now) {
            info!(self.log, "woken late"; self.turn.time_breakdown(now));
        }
        previous
    }

    /// Logs how many lines on single requests were left out.
    pub fn log_suppressed_lines(&mut self) {
        if let Some(count) = self.request_lines.take_suppressed(self.now) {
            info!(self.log, "request lines left out"; "count" => count);
        }
    }

    /// Notes when there are enough descriptors again.
    pub fn check_descriptor_recovery(&mut self) {
        if self.resource_shortage && self.budget.has_capacity(ENOUGH_DESCRIPTORS) {
            self.resource_shortage = false;
            info!(self.log, "descriptors to spare again"; "taken" => self.budget.in_use());
        }
    }

    /// A new generation for a token, so that reports for an earlier owner of its slot are told apart.
    pub fn next_generation(&mut self) -> u32 {
        self.last_generation = self.last_generation.wrapping_add(1);
        self.last_generation
    }

    /// Counts a system call that failed as this machine was short of something.
    pub fn record_transient_failure(&mut self, call: &'static str) {
        self.metrics.add(Counter::TransientFailure(call));
    }

    /// Has the poller report a socket under a new token.
    pub fn register(
        &mut self,
        socket: &Socket,
        component: u8,
        slot: usize,
    ) -> Result<PollToken, Errno> {
        let token = PollToken {
            component,
            slot: slot as u32,
            generation: self.next_generation(),
        };
        self.poller.register(socket, token)?;
        Ok(token)
    }
}
