//! Probes of hosts. It owns the connections of probes that are out, one a probe. It must never send a
//! probe that the module did not ask for, nor let one outlast its time.

use crate::connections::protocol::{self, HostMessage, LineScanner};
use crate::context::{Context, PROBE};
use reedferry::{AttemptOutcome, Event, HostId, Nanos};
use reedferry_runtime::{Buffer, Errno, PollToken, Readiness, Socket};
use slab::Slab;

struct PendingProbe {
    host: HostId,
    socket: Socket,
    generation: u32,
    request_sent: bool,
    received: Option<Buffer>,
}

#[derive(Default)]
pub struct Probes {
    slab: Slab<PendingProbe>,
}

impl Probes {
    pub fn send(&mut self, context: &mut Context, host: HostId) {
        let address = context
            .hosts
            .index(host)
            .and_then(|h| context.hosts.record(h).address);
        let opened = match address {
            Some(address) if context.budget.has_capacity(1) => {
                context.budget.connect(&address).ok()
            }
            _ => None,
        };
        let Some((socket, _)) = opened else {
            return Self::report(context, host, AttemptOutcome::ConnectFailed, Vec::new());
        };
        let entry = self.slab.vacant_entry();
        let Ok(mark) = context.watch(&socket, PROBE, entry.key()) else {
            return Self::report(context, host, AttemptOutcome::ConnectFailed, Vec::new());
        };
        entry.insert(PendingProbe {
            host,
            socket,
            generation: mark.generation,
            request_sent: false,
            received: None,
        });
        let until: Nanos = context.now + 2 * context.node_settings.connect_within;
        context.poller.set_timer(until, mark, 0);
    }

    fn report(context: &mut Context, host: HostId, ending: AttemptOutcome, load_metrics: Vec<f64>) {
        context.events.push(Event::ProbeEnded {
            host,
            ending,
            load_metrics,
        });
    }

    fn finish(
        &mut self,
        context: &mut Context,
        slot: usize,
        ending: AttemptOutcome,
        load_metrics: Vec<f64>,
    ) {
        let probe = self.slab.remove(slot);
        Self::report(context, probe.host, ending, load_metrics);
    }

    /// A probe has had its time. Guards: a host taken for silent, and full, as its answer lies unread in a process that stood
    /// still.
    pub fn on_timeout(&mut self, context: &mut Context, mark: PollToken) {
        let slot = mark.slot as usize;
        if self.pending(mark).is_some_and(|probe| probe.request_sent) {
            self.read_answer(context, slot);
        }
        if let Some(probe) = self.pending(mark) {
            let ending = if probe.request_sent {
                AttemptOutcome::TimedOut
            } else {
                AttemptOutcome::ConnectFailed
            };
            self.finish(context, slot, ending, Vec::new());
        }
    }

    /// The probe of this mark, while it is out.
    fn pending(&self, mark: PollToken) -> Option<&PendingProbe> {
        self.slab
            .get(mark.slot as usize)
            .filter(|probe| probe.generation == mark.generation)
    }

    pub fn on_ready(&mut self, context: &mut Context, ready: Readiness) {
        let slot = ready.token.slot as usize;
        let Some(probe) = self
            .slab
            .get_mut(slot)
            .filter(|p| p.generation == ready.token.generation)
        else {
            return;
        };
        if ready.writable && !probe.request_sent {
            let line: &[u8] = if context.node_settings.load_metrics.is_empty() {
                b"PING\r\n"
            } else {
                b"STATS\r\n"
            };
            if probe.socket.connect_result().is_err() || probe.socket.send(line) != Ok(line.len()) {
                return self.finish(context, slot, AttemptOutcome::ConnectFailed, Vec::new());
            }
            probe.request_sent = true;
        }
        if ready.readable && probe.request_sent {
            self.read_answer(context, slot);
        }
    }

    /// Reads what its host has said by now.
    fn read_answer(&mut self, context: &mut Context, slot: usize) {
        let probe = &mut self.slab[slot];
        let Some(mut heard) = probe.received.take().or_else(|| context.pool.take()) else {
            return self.finish(context, slot, AttemptOutcome::NeverSent, Vec::new());
        };
        loop {
            if heard.free_space().is_empty() {
                return self.finish(context, slot, AttemptOutcome::Error, Vec::new());
            }
            match probe.socket.receive(heard.free_space()) {
                Ok(0) => {
                    return self.finish(context, slot, AttemptOutcome::ConnectionLost, Vec::new())
                }
                Ok(count) => heard.commit(count),
                Err(Errno::AGAIN) => break,
                Err(_) => {
                    return self.finish(context, slot, AttemptOutcome::ConnectionLost, Vec::new())
                }
            }
        }
        match protocol::first(heard.unsent()) {
            Ok(None) => probe.received = Some(heard),
            Ok(Some((line, length))) => {
                let said = LineScanner::default()
                    .step(&heard.unsent()[..length])
                    .ok()
                    .and_then(|(_, said)| said);
                let ending = if said == Some(HostMessage::Pong) {
                    AttemptOutcome::Completed
                } else {
                    AttemptOutcome::Error
                };
                let load_metrics = protocol::report(line, &context.node_settings.load_metrics);
                self.finish(context, slot, ending, load_metrics);
            }
            Err(_) => self.finish(context, slot, AttemptOutcome::Error, Vec::new()),
        }
    }
}
