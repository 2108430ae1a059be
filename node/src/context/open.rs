//! Startup of a process: opens the poller, the budgets and the listeners, and loads the last known endpoint list.

use super::{token, Context, LISTENER, RELOAD, STOP};
use crate::discovery::hosts::{Hosts, ListSource};
use crate::discovery::list::ListReader;
use crate::error::FatalError;
use crate::operators::metrics::Metrics;
use crate::operators::node_config::NodeConfig;
use crate::turn::Turn;
use crate::Signals;
use reedferry::Nanos;
use reedferry_runtime::errors::retry_for;
use reedferry_runtime::log::{LogBacklog, LogRateLimit};
use reedferry_runtime::{log, pool, BufferPool, Clock, DescriptorBudget, Poller, Socket};
use std::net::SocketAddr;
use std::time::Duration;

/// How long the start of a process waits for resources that the machine lacks.
pub const START_TIMEOUT: Duration = Duration::from_secs(5);
/// The maximum number of log lines on single requests per second.
const MAX_REQUEST_LINES: u32 = 20;
/// The maximum number of log lines on late turns per second.
const MAX_LATE_TURN_LINES: u32 = 1;
const BUFFER_MEMORY_DIVISOR: usize = 4;
const MIN_BUFFERS: usize = 64;

impl Context {
    /// Opens the context that every role needs, and the log backlog that its event loop drains.
    pub fn open(
        node_config: &NodeConfig,
        clock: &Clock,
        signals: &Signals,
    ) -> Result<(Context, LogBacklog), FatalError> {
        let (log, backlog) = log::logger(&node_config.name);
        let poller = retry_for(START_TIMEOUT, Poller::new).map_err(FatalError::Poll)?;
        retry_for(START_TIMEOUT, || {
            poller.register(&signals.stop, token(STOP))
        })
        .map_err(FatalError::Poll)?;
        retry_for(START_TIMEOUT, || {
            poller.register(&signals.reload, token(RELOAD))
        })
        .map_err(FatalError::Poll)?;
        let now = clock.read();
        // A quarter of the memory is for buffers. The rest is for other data of the program and a reserve.
        let buffers = node_config.memory / BUFFER_MEMORY_DIVISOR / pool::BUFFER_BYTES;
        let mut metrics = Metrics::default();
        metrics.add_classes(&node_config.node_settings.classes);
        let context = Context {
            now,
            clock: clock.clone(),
            start: now,
            caught_up: now,
            turn: Turn::default(),
            poller,
            budget: DescriptorBudget::new(node_config.sockets),
            pool: BufferPool::new(buffers.max(MIN_BUFFERS)),
            hosts: Hosts::new(
                node_config.node_settings.zones.clone(),
                node_config
                    .balancer_settings
                    .shortest_message_latency_objective(),
            ),
            settings: node_config.node_settings.clone(),
            classes: node_config.balancer_settings.classes.clone(),
            events: Vec::new(),
            log,
            last_generation: 0,
            may_end_at: None,
            standby_deadline: None,
            shutdown_deadline: None,
            metrics,
            late_turn_lines: LogRateLimit::new(MAX_LATE_TURN_LINES),
            request_lines: LogRateLimit::new(MAX_REQUEST_LINES),
            resource_shortage: false,
            stale_window: Nanos::MAX..Nanos::MAX,
        };
        Ok((context, backlog))
    }

    /// Listens on an address, and registers the listener with the poller for this component.
    pub fn listen(&mut self, address: &SocketAddr, component: u8) -> Result<Socket, FatalError> {
        let listener =
            retry_for(START_TIMEOUT, || self.budget.listen(address)).map_err(|error| {
                FatalError::Listen {
                    address: *address,
                    error,
                }
            })?;
        retry_for(START_TIMEOUT, || {
            self.poller.register(&listener, token(component))
        })
        .map_err(FatalError::Poll)?;
        Ok(listener)
    }

    /// Takes over a listener for clients that the platform keeps open, and registers it with the poller.
    pub fn inherit_listener(&mut self, descriptor: i32) -> Result<Socket, FatalError> {
        let invalid_listener = |error| FatalError::InvalidListener { descriptor, error };
        let listener = retry_for(START_TIMEOUT, || self.budget.inherit_listener(descriptor))
            .map_err(invalid_listener)?;
        retry_for(START_TIMEOUT, || {
            self.poller.register(&listener, token(LISTENER))
        })
        .map_err(invalid_listener)?;
        Ok(listener)
    }

    /// Applies the endpoint list in the configuration, and returns its revision, or `None` if there is no such list.
    pub fn load_known_endpoints(
        &mut self,
        node_config: &NodeConfig,
    ) -> Result<Option<u64>, FatalError> {
        if node_config.known.is_empty() {
            return Ok(None);
        }
        let mut reader = ListReader::default();
        let list = reader
            .feed(&node_config.known)
            .and_then(|()| reader.finish())
            .map_err(|error| FatalError::KnownEndpoints(error.to_string()))?;
        let revision = list.revision;
        let event = self
            .hosts
            .apply_list(self.now, list, ListSource::Cached, &self.log);
        self.events.push(event);
        Ok(Some(revision))
    }
}
