//! A network between processes: each process has a public address that the others use, one UDP socket and one TCP
//! listener of the event loop here, and what arrives there is forwarded to the process behind it, datagrams from the
//! sender's own public address. Owns what is lost, delayed, duplicated, corrupted or truncated from whom to whom, and
//! never looks into what passes.

mod connection;
mod event_loop;

use crate::simulated::spawn_thread;
use event_loop::NetworkLoop;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The port of all processes; they differ by their addresses.
const PROCESS_PORT: u16 = 7400;

/// The faults of a link from one process to another; shares of all that passes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFaults {
    /// Nothing passes.
    pub cut: bool,
    /// Datagrams that are lost.
    pub loss: f64,
    /// Datagrams that come twice.
    pub duplicate: f64,
    /// Datagrams, or pieces of a connection, with a changed byte.
    pub corrupt: f64,
    /// Datagrams that are cut short; connections that break in the middle of a piece.
    pub truncate: f64,
    /// Delayed for a time up to this, one of twenty for up to five times as long.
    pub delay: Duration,
}

/// What was seen on the wire.
#[derive(Clone, Debug, Default)]
pub struct TrafficCounts {
    /// Sent by each process, whatever became of it.
    pub sent: Vec<u64>,
    /// Datagrams that were lost.
    pub lost: u64,
    /// Datagrams that came twice.
    pub duplicated: u64,
    /// Datagrams and pieces with a changed byte.
    pub corrupted: u64,
    /// Datagrams and pieces that were cut short.
    pub truncated: u64,
    /// Datagrams and pieces that were delayed.
    pub delayed: u64,
}

/// A datagram between two processes.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Datagram {
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

/// What tests and the event loop share.
struct SharedState {
    /// By sender, then by receiver.
    link_faults: Vec<Vec<LinkFaults>>,
    traffic: TrafficCounts,
    /// What was sent since [`FaultyNetwork::record_datagrams`].
    recorded: Option<Vec<Datagram>>,
    /// What the event loop is to send once more.
    replayed: Vec<Datagram>,
}

/// The network between the processes of a test, with faults by sender and receiver.
pub struct FaultyNetwork {
    /// Where others reach each process.
    pub public_addresses: Vec<SocketAddr>,
    /// Where each process listens itself.
    pub process_addresses: Vec<SocketAddr>,
    shared: Arc<Mutex<SharedState>>,
    stopped: Arc<AtomicBool>,
}

impl FaultyNetwork {
    /// A network without faults between so many processes; `seed` draws the faults set later.
    pub fn new(count: usize, seed: u64) -> FaultyNetwork {
        let public: Vec<(UdpSocket, TcpListener)> =
            (0..count).map(|_| bind_public_address()).collect();
        let public_addresses = public
            .iter()
            .map(|(socket, _)| socket.local_addr().unwrap())
            .collect();
        let process_addresses: Vec<SocketAddr> =
            (0..count).map(|_| unique_process_address()).collect();
        let shared = Arc::new(Mutex::new(SharedState {
            link_faults: vec![vec![LinkFaults::default(); count]; count],
            traffic: TrafficCounts {
                sent: vec![0; count],
                ..TrafficCounts::default()
            },
            recorded: None,
            replayed: Vec::new(),
        }));
        let stopped = Arc::new(AtomicBool::new(false));
        let network_loop =
            NetworkLoop::new(public, process_addresses.clone(), shared.clone(), seed);
        let loop_stopped = stopped.clone();
        spawn_thread(move || network_loop.run(&loop_stopped));
        FaultyNetwork {
            public_addresses,
            process_addresses,
            shared,
            stopped,
        }
    }

    /// Sets the faults of all links, by sender and receiver.
    pub fn set_faults(&self, link_faults: impl Fn(usize, usize) -> LinkFaults) {
        let mut shared = self.shared.lock().unwrap();
        for (from, row) in shared.link_faults.iter_mut().enumerate() {
            row.iter_mut()
                .enumerate()
                .for_each(|(to, faults)| *faults = link_faults(from, to));
        }
    }

    /// Changes the faults of all links, by sender and receiver.
    pub fn change_faults(&self, change: impl Fn(usize, usize, &mut LinkFaults)) {
        let mut shared = self.shared.lock().unwrap();
        for (from, row) in shared.link_faults.iter_mut().enumerate() {
            row.iter_mut()
                .enumerate()
                .for_each(|(to, faults)| change(from, to, faults));
        }
    }

    /// Cuts the network into parts that do not hear each other; other faults stay.
    pub fn partition(&self, part: impl Fn(usize) -> usize) {
        self.change_faults(|from, to, link_faults| link_faults.cut = part(from) != part(to));
    }

    /// Records all datagrams that are sent from now on.
    pub fn record_datagrams(&self) {
        self.shared.lock().unwrap().recorded = Some(Vec::new());
    }

    /// Sends all recorded datagrams once more, changed by this, from the same sender to the same receiver. Returns how
    /// many.
    pub fn replay(&self, change: impl Fn(&mut Vec<u8>)) -> usize {
        let mut shared = self.shared.lock().unwrap();
        let mut datagrams = shared.recorded.take().unwrap_or_default();
        for datagram in &mut datagrams {
            change(&mut datagram.bytes);
        }
        let count = datagrams.len();
        shared.recorded = Some(datagrams.clone());
        shared.replayed.extend(datagrams);
        count
    }

    /// Takes all faults away.
    pub fn heal(&self) {
        self.set_faults(|_, _| LinkFaults::default());
    }

    /// What was seen on the wire so far.
    pub fn traffic(&self) -> TrafficCounts {
        self.shared.lock().unwrap().traffic.clone()
    }
}

impl Drop for FaultyNetwork {
    fn drop(&mut self) {
        self.stopped.store(true, SeqCst);
    }
}

/// An address of 127.0.0.0/8 that no other process of this or another test has.
fn unique_process_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, SeqCst);
    let test_process = 16 + std::process::id() % 200;
    let address = Ipv4Addr::new(
        127,
        test_process as u8,
        (number / 250) as u8,
        (number % 250 + 1) as u8,
    );
    SocketAddr::from((address, PROCESS_PORT))
}

/// A UDP socket and a TCP listener at one port.
fn bind_public_address() -> (UdpSocket, TcpListener) {
    loop {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        // A connection may have that port already.
        let Ok(listener) = TcpListener::bind(socket.local_addr().unwrap()) else {
            continue;
        };
        socket.set_nonblocking(true).unwrap();
        listener.set_nonblocking(true).unwrap();
        return (socket, listener);
    }
}

#[cfg(test)]
#[path = "network_tests.rs"]
mod tests;
