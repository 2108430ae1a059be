//! Pressure on one process: crowds of slow clients, floods on single connections, hosts that send at full speed, and
//! usual clients beside them, which record how they are served. Judges nothing; the tests do.

mod crowd;
mod flood;
mod hosts;
mod list_service;
mod usual_clients;

pub use hosts::PressureHosts;
pub use list_service::{start_endless_list_service, EndlessAnswer};
pub use usual_clients::{UsualClients, UsualSummary};

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// A way in which clients, hosts or peers put a process under pressure.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Pressure {
    /// Hundreds of clients that write a line of 600 short fields at 600 bytes a second.
    SlowHeads,
    /// The same line, one field a packet.
    FieldAPacket,
    /// The same line, one byte a packet.
    ByteAPacket,
    /// Hundreds of clients that stop in the middle of such a line and stay.
    HalfHeads,
    /// Clients with open connections that send a megabyte without a line end.
    EndlessLines,
    /// Clients with open connections that read nothing, while their hosts send at full speed.
    UnreadAnswers,
    /// One client that sends `PING` at full speed.
    Pings,
    /// One client that sends empty lines at full speed.
    EmptyLines,
    /// One client that sends bytes that are no text at full speed.
    Garbage,
    /// One client that sends whole requests, one behind the other on one connection, at full speed.
    FirstLines,
    /// One client that sends small lines on its open connection at full speed.
    SmallLines,
    /// Requests with ever new ids, keys, tenants and groups, one after the other.
    NewNames,
    /// Requests of ever new classes, one after the other.
    NewClasses,
    /// A host that sends `LOAD` on an open connection at full speed.
    LoadReports,
    /// Hundreds of callers of the operators' endpoint that stop in the middle of a head.
    HalfApiHeads,
    /// Callers of the operators' endpoint that send a body slowly.
    SlowApiBodies,
    /// Datagrams that are no messages, at full speed, to the port of the membership protocol.
    PeerDatagrams,
}

/// The addresses at which a process is put under pressure.
#[derive(Clone, Copy, Debug)]
pub struct PressureTarget {
    /// Where clients connect.
    pub clients: SocketAddr,
    /// The name of the request class.
    pub class: &'static str,
    /// The timeout of a usual request.
    pub timeout: Duration,
    /// The operators' endpoint, if there is one.
    pub operators: Option<SocketAddr>,
    /// The port of the membership protocol, if there is one.
    pub peers: Option<SocketAddr>,
}

impl PressureTarget {
    /// Returns the first line of a request. `id` is also its idempotency key.
    fn open_line(&self, id: &str) -> String {
        let (class, timeout) = (self.class, self.timeout.as_millis());
        format!("OPEN {id} {id} c={class},t=acme,d={timeout}\r\n")
    }
}

/// Pressure that goes on until it is dropped.
pub struct RunningPressure {
    stop: Arc<AtomicBool>,
    played: Arc<AtomicU64>,
    threads: Vec<JoinHandle<()>>,
}

impl RunningPressure {
    /// Starts this pressure.
    pub fn start(pressure: Pressure, target: PressureTarget) -> Self {
        let (stop, played) = (
            Arc::new(AtomicBool::new(false)),
            Arc::<AtomicU64>::default(),
        );
        let thread_count = match pressure {
            Pressure::NewNames | Pressure::NewClasses => flood::REQUEST_THREADS,
            _ => 1,
        };
        let threads = (0..thread_count).map(|thread| {
            let (stop, played) = (stop.clone(), played.clone());
            thread::spawn(move || match pressure {
                Pressure::SlowHeads
                | Pressure::FieldAPacket
                | Pressure::ByteAPacket
                | Pressure::HalfHeads
                | Pressure::EndlessLines
                | Pressure::UnreadAnswers
                | Pressure::HalfApiHeads
                | Pressure::SlowApiBodies => crowd::run(pressure, target, &stop, &played),
                _ => flood::run(pressure, target, thread, &stop, &played),
            })
        });
        let threads = threads.collect();
        RunningPressure {
            stop,
            played,
            threads,
        }
    }

    /// Returns how much was played: bytes written, or requests and datagrams sent.
    pub fn played(&self) -> u64 {
        self.played.load(SeqCst)
    }
}

impl Drop for RunningPressure {
    fn drop(&mut self) {
        self.stop.store(true, SeqCst);
        for thread in self.threads.drain(..) {
            thread.join().expect("a thread of the pressure panicked");
        }
    }
}

/// Returns a first line of 600 short fields, close to the longest that is allowed, of a class that does not exist.
fn line_of_many_fields() -> String {
    const FIELDS: usize = 600;
    let mut line = String::from("OPEN slow 7f3a c=none,t=acme,d=2000");
    for field in 0..FIELDS {
        line.push_str(&format!(",{field:x}=1"));
    }
    line + "\r\n"
}
