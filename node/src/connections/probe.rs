//! Health checks and load probes of hosts, each on a separate connection. Probes are sent only at the request
//! of the decision module, and each ends within its timeout.

use super::protocol::{self, HostMessage, LineScanner};
use crate::context::{Context, PROBE};
use reedferry::{AttemptOutcome, Event, HostId, Nanos};
use reedferry_runtime::{Buffer, Errno, PollToken, Readiness, Socket};
use slab::Slab;

/// Asks a host whether it is alive.
const HEALTH_CHECK_LINE: &[u8] = b"PING\r\n";
/// Asks a host for its load metrics.
const LOAD_PROBE_LINE: &[u8] = b"STATS\r\n";

/// A probe whose answer is awaited.
struct PendingProbe {
    host: HostId,
    socket: Socket,
    /// Distinguishes this probe from earlier ones in the same slot.
    generation: u32,
    request_sent: bool,
    /// The part of the answer that has arrived, or `None` if none has.
    received: Option<Buffer>,
}

/// The result of a probe.
struct ProbeResult {
    outcome: AttemptOutcome,
    /// The values of the load metrics in the order of the settings, empty if the host did not report all of
    /// them.
    load_metrics: Vec<f64>,
}

impl From<AttemptOutcome> for ProbeResult {
    fn from(outcome: AttemptOutcome) -> Self {
        ProbeResult {
            outcome,
            load_metrics: Vec::new(),
        }
    }
}

/// The probes in flight.
#[derive(Default)]
pub struct Probes {
    slab: Slab<PendingProbe>,
}

impl Probes {
    /// Sends a probe to a host. Its result is reported as an event, at once if it cannot be sent.
    pub fn send(&mut self, context: &mut Context, host: HostId) {
        let index = context.hosts.index(host);
        let address = index.and_then(|index| context.hosts.record(index).address);
        let opened = match address {
            Some(address) if context.budget.has_capacity(1) => {
                context.budget.connect(&address).ok()
            }
            _ => None,
        };
        let Some((socket, _)) = opened else {
            return report(context, host, AttemptOutcome::ConnectFailed.into());
        };
        let entry = self.slab.vacant_entry();
        let Ok(token) = context.register(&socket, PROBE, entry.key()) else {
            return report(context, host, AttemptOutcome::ConnectFailed.into());
        };
        entry.insert(PendingProbe {
            host,
            socket,
            generation: token.generation,
            request_sent: false,
            received: None,
        });
        let deadline: Nanos = context.now + 2 * context.settings.connect_timeout;
        context.poller.set_timer(deadline, token, 0);
    }

    /// Ends a probe that has timed out, after reading its socket once more. Without the reading, a host would
    /// be taken for silent and overloaded while its answer lies unread because this process was stalled.
    pub fn on_timeout(&mut self, context: &mut Context, token: PollToken) {
        let slot = token.slot as usize;
        if self.pending(token).is_some_and(|probe| probe.request_sent) {
            self.read_answer(context, slot);
        }
        if let Some(probe) = self.pending(token) {
            let outcome = if probe.request_sent {
                AttemptOutcome::TimedOut
            } else {
                AttemptOutcome::ConnectFailed
            };
            self.finish(context, slot, outcome.into());
        }
    }

    /// Sends the request or reads the answer of a probe whose socket is ready.
    pub fn on_ready(&mut self, context: &mut Context, ready: Readiness) {
        let slot = ready.token.slot as usize;
        let Some(probe) = self.pending_mut(ready.token) else {
            return;
        };
        if ready.writable && !probe.request_sent {
            let line = if context.settings.load_metrics.is_empty() {
                HEALTH_CHECK_LINE
            } else {
                LOAD_PROBE_LINE
            };
            if probe.socket.connect_result().is_err() || probe.socket.send(line) != Ok(line.len()) {
                return self.finish(context, slot, AttemptOutcome::ConnectFailed.into());
            }
            probe.request_sent = true;
        }
        if ready.readable && probe.request_sent {
            self.read_answer(context, slot);
        }
    }

    /// Returns the probe that the token was made for, or `None` if it has ended.
    fn pending(&self, token: PollToken) -> Option<&PendingProbe> {
        self.slab
            .get(token.slot as usize)
            .filter(|probe| probe.generation == token.generation)
    }

    fn pending_mut(&mut self, token: PollToken) -> Option<&mut PendingProbe> {
        self.slab
            .get_mut(token.slot as usize)
            .filter(|probe| probe.generation == token.generation)
    }

    /// Reads what has arrived of the answer, and ends the probe once the line is complete or an error occurs.
    fn read_answer(&mut self, context: &mut Context, slot: usize) {
        let probe = &mut self.slab[slot];
        let Some(mut buffer) = probe.received.take().or_else(|| context.pool.take()) else {
            return self.finish(context, slot, AttemptOutcome::NeverSent.into());
        };
        if let Err(outcome) = receive_all(&probe.socket, &mut buffer) {
            return self.finish(context, slot, outcome.into());
        }
        match protocol::split_first_line(buffer.unsent()) {
            Ok(None) => probe.received = Some(buffer),
            Ok(Some(line)) => {
                let names = &context.settings.load_metrics;
                let result = ProbeResult {
                    outcome: answer_outcome(&buffer.unsent()[..line.length]),
                    load_metrics: protocol::parse_load_report(line.text, names),
                };
                self.finish(context, slot, result);
            }
            Err(_) => self.finish(context, slot, AttemptOutcome::Error.into()),
        }
    }

    fn finish(&mut self, context: &mut Context, slot: usize, result: ProbeResult) {
        let probe = self.slab.remove(slot);
        report(context, probe.host, result);
    }
}

fn report(context: &mut Context, host: HostId, result: ProbeResult) {
    context.events.push(Event::ProbeEnded {
        host,
        ending: result.outcome,
        load_metrics: result.load_metrics,
    });
}

/// Reads all that has arrived.
///
/// # Errors
/// Returns the outcome of the probe if the connection has ended or the answer does not fit the buffer.
fn receive_all(socket: &Socket, buffer: &mut Buffer) -> Result<(), AttemptOutcome> {
    loop {
        if buffer.free_space().is_empty() {
            return Err(AttemptOutcome::Error);
        }
        match socket.receive(buffer.free_space()) {
            Ok(0) => return Err(AttemptOutcome::ConnectionLost),
            Ok(count) => buffer.commit(count),
            Err(Errno::AGAIN) => return Ok(()),
            Err(_) => return Err(AttemptOutcome::ConnectionLost),
        }
    }
}

/// Returns the outcome of a probe that was answered with this line, its CRLF included.
fn answer_outcome(line: &[u8]) -> AttemptOutcome {
    match LineScanner::default().step(line) {
        Ok((_, Some(HostMessage::Pong))) => AttemptOutcome::Completed,
        _ => AttemptOutcome::Error,
    }
}
