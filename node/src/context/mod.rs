//! The state that the components of a process share: the clock reading of the current turn, the poller, the budgets, the hosts,
//! and the events that are collected for the balancer. The context takes no action of its own.

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

/// A turn that begins later than this is logged.
const LATE_TURN: Nanos = 50 * MILLI;
/// The number of free descriptors at which a resource shortage ends.
const RECOVERY_DESCRIPTORS: usize = 8;

/// Returns the token of a component that has a single socket or timer.
pub fn token(component: u8) -> PollToken {
    PollToken {
        component,
        slot: 0,
        generation: 0,
    }
}

/// The state that the components of a process share.
pub struct Context {
    /// The clock reading of the current turn.
    pub now: Nanos,
    /// The clock, for decisions that need the actual time instead of the reading of the turn.
    pub clock: Clock,
    /// When this process started.
    pub start: Nanos,
    /// When the last turn began that served everything that was ready.
    caught_up: Nanos,
    /// How the current turn began.
    pub turn: Turn,
    /// The poller, which reports ready sockets and due timers.
    pub poller: Poller,
    /// The descriptors that this process may use.
    pub budget: DescriptorBudget,
    /// The buffers that this process may use.
    pub pool: BufferPool,
    /// The hosts of the endpoint list.
    pub hosts: Hosts,
    /// The settings that are not part of the balancer's.
    pub settings: NodeSettings,
    /// The request classes, in the order of their names in the settings.
    pub classes: Vec<RequestClass>,
    /// The events collected for the balancer.
    pub events: Vec<Event>,
    /// The logger of the process.
    pub log: Logger,
    /// The generation of the last token that was created.
    pub last_generation: u32,
    /// The earliest moment at which a node or forwarder may end, or the latest at which a planner ends; `None` unless the process
    /// has been asked to stop.
    pub may_end_at: Option<Nanos>,
    /// When a node in standby must have migrated its last client; `None` if the node is not in standby.
    pub standby_deadline: Option<Nanos>,
    /// When a process that stops must have migrated its last client; `None` unless it has been asked to stop.
    pub shutdown_deadline: Option<Nanos>,
    /// The metrics of the process.
    pub metrics: Metrics,
    /// The rate limit of log lines on turns that began late.
    late_turn_lines: LogRateLimit,
    /// The rate limit of log lines on single requests.
    pub request_lines: LogRateLimit,
    /// Whether new work was postponed for lack of descriptors or buffers, and the shortage has not ended since.
    pub resource_shortage: bool,
    /// The window in which no new attempts may be sent to hosts, unless the list service answers first.
    pub stale_window: Range<Nanos>,
}

impl Context {
    /// Begins a turn at `now`, after a wait that began at `wait_started`, and returns when the previous turn began. `has_unserved`
    /// tells whether the previous turn left ready sockets unserved.
    pub fn begin_turn(&mut self, wait_started: Nanos, now: Nanos, has_unserved: bool) -> Nanos {
        let previous = std::mem::replace(&mut self.now, now);
        if !has_unserved {
            self.caught_up = previous;
        }
        self.hosts
            .stalls
            .record_turn(self.caught_up, wait_started, now);
        self.turn
            .begin(self.poller.next_deadline(), wait_started, now);
        if self.turn.lateness() > LATE_TURN && self.late_turn_lines.allow(now) {
            info!(self.log, "event loop turn began late"; self.turn.time_breakdown(now));
        }
        previous
    }

    /// Logs how many log lines on single requests were suppressed.
    pub fn log_suppressed_lines(&mut self) {
        if let Some(count) = self.request_lines.take_suppressed(self.now) {
            info!(self.log, "request log lines suppressed"; "count" => count);
        }
    }

    /// Ends the resource shortage and logs this, if enough descriptors are free again.
    pub fn check_descriptor_recovery(&mut self) {
        if self.resource_shortage && self.budget.has_capacity(RECOVERY_DESCRIPTORS) {
            self.resource_shortage = false;
            info!(self.log, "descriptor shortage ended"; "taken" => self.budget.in_use());
        }
    }

    /// Returns a new generation for a token, so that reports for an earlier owner of its slot can be recognized.
    pub fn next_generation(&mut self) -> u32 {
        self.last_generation = self.last_generation.wrapping_add(1);
        self.last_generation
    }

    /// Counts a system call that failed because this machine lacked a resource.
    pub fn record_transient_failure(&mut self, call: &'static str) {
        self.metrics.add(Counter::TransientFailure(call));
    }

    /// Registers a socket with the poller under a new token.
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
