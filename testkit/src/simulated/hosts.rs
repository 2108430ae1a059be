//! Hosts whose behavior a test sets. They record each request that reaches them.

use super::{echo_lines, first_line, spawn_thread, InvariantChecker};
use serde_json::{json, Value};
use std::io::{BufRead, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, AtomicU8, Ordering::SeqCst};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// How often a hanging host checks whether its behavior has changed.
const HANG_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// What a host does with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
#[repr(u8)]
pub enum HostBehavior {
    /// Accepts the request and sends each line back that comes on the connection.
    Accepts,
    /// Rejects the request, which has not run.
    Rejects,
    /// Fails the request, which may have run.
    Fails,
    /// Never answers.
    Silent,
    /// Closes the connection without answering.
    Disconnects,
    /// Never answers a request, and sends nothing back on connections that are already open.
    Hangs,
}

/// All behaviors in the order of their discriminants.
const BEHAVIORS: [HostBehavior; 6] = [
    HostBehavior::Accepts,
    HostBehavior::Rejects,
    HostBehavior::Fails,
    HostBehavior::Silent,
    HostBehavior::Disconnects,
    HostBehavior::Hangs,
];

/// An attempt that reached a host.
#[derive(Clone, Debug)]
pub struct ObservedAttempt {
    /// When the host had read the request line.
    pub at: Instant,
    /// The number of the host.
    pub host: usize,
    /// The id of the request.
    pub name: String,
    /// What the host did with the request.
    pub behavior: HostBehavior,
    /// When the node closed the connection of an attempt that the host left unanswered; `None` for other attempts and
    /// while the connection is open.
    pub abandoned_at: Option<Instant>,
}

/// Hosts that serve on threads of their own. Hosts with even and with odd numbers form two cells.
pub struct Hosts {
    /// The address at which each host listens.
    pub addresses: Vec<SocketAddr>,
    behaviors: Arc<Vec<AtomicU8>>,
    /// The number of open connections at each host.
    pub open: Arc<Vec<AtomicU32>>,
}

impl Hosts {
    /// Starts `count` hosts that accept all requests.
    pub fn start(count: usize, checker: &InvariantChecker) -> Self {
        let mut hosts = Hosts {
            addresses: Vec::new(),
            behaviors: Arc::new((0..count).map(|_| AtomicU8::new(0)).collect()),
            open: Arc::new((0..count).map(|_| AtomicU32::new(0)).collect()),
        };
        for number in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            hosts.addresses.push(listener.local_addr().unwrap());
            let host = Host {
                number,
                behaviors: hosts.behaviors.clone(),
                open: hosts.open.clone(),
                checker: checker.clone(),
            };
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let host = host.clone();
                    spawn_thread(move || host.serve(stream));
                }
            });
        }
        hosts
    }

    /// Sets the behavior of a host from now on.
    pub fn set_behavior(&self, host: usize, behavior: HostBehavior) {
        self.behaviors[host].store(behavior as u8, SeqCst);
    }

    /// Returns the number of open connections at each host.
    pub fn open_connections(&self) -> Vec<u32> {
        self.open.iter().map(|open| open.load(SeqCst)).collect()
    }

    /// Returns a host as an entry of the endpoint list, in this phase.
    pub fn member(&self, host: usize, phase: &str) -> Value {
        json!({"id": format!("s-{host}"), "host_port": self.addresses[host].to_string(), "locality": "a",
            "flavor": "m", "cell": host % 2, "phase": phase, "size": 1.0, "up_since_ms": 0})
    }

    /// Returns all hosts as entries of the endpoint list, in phase `active`.
    pub fn members(&self) -> Value {
        (0..self.addresses.len())
            .map(|host| self.member(host, "active"))
            .collect()
    }
}

/// The state of one host, cloned for each of its connections.
#[derive(Clone)]
struct Host {
    number: usize,
    behaviors: Arc<Vec<AtomicU8>>,
    open: Arc<Vec<AtomicU32>>,
    checker: InvariantChecker,
}

impl Host {
    fn behavior(&self) -> HostBehavior {
        let behavior = self.behaviors[self.number].load(SeqCst);
        BEHAVIORS[usize::from(behavior) % BEHAVIORS.len()]
    }

    fn wait_while_hanging(&self) {
        while self.behavior() == HostBehavior::Hangs {
            thread::sleep(HANG_POLL_INTERVAL);
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let Some((mut reader, mut line)) = first_line(&stream) else {
            return;
        };
        let (at, behavior) = (Instant::now(), self.behavior());
        let Some(name) = line.split(' ').nth(1).map(str::to_string) else {
            _ = stream.write_all(b"SYNTAX\r\n");
            return;
        };
        let attempt = self.checker.note_attempt(ObservedAttempt {
            at,
            host: self.number,
            name,
            behavior,
            abandoned_at: None,
        });
        match behavior {
            HostBehavior::Accepts => {
                self.open[self.number].fetch_add(1, SeqCst);
                if stream.write_all(b"UP 1\r\n").is_ok() {
                    echo_lines(&mut reader, &mut stream, || self.wait_while_hanging());
                }
                self.open[self.number].fetch_sub(1, SeqCst);
            }
            HostBehavior::Rejects => _ = stream.write_all(b"BUSY\r\n"),
            HostBehavior::Fails => _ = stream.write_all(b"ERR\r\n"),
            HostBehavior::Silent | HostBehavior::Hangs => {
                line.clear();
                _ = reader.read_line(&mut line);
                self.checker.note_abandoned(attempt);
            }
            HostBehavior::Disconnects => _ = stream.shutdown(Shutdown::Both),
        }
    }
}
