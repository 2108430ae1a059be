//! A network with faults between processes. Each process has a public address that the others use; the event loop of
//! this module has a UDP socket and a TCP listener there and forwards what arrives to the process. Datagrams are
//! forwarded from the public address of their sender. The module decides what is lost, delayed, duplicated, corrupted
//! or truncated, by sender and receiver, and does not interpret the bytes.

mod connection;
mod event_loop;

use crate::simulated::spawn_thread;
use event_loop::NetworkLoop;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The port on which all processes listen; their IP addresses differ.
const PROCESS_PORT: u16 = 7400;

/// The faults of a link from one process to another. Shares are from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFaults {
    /// Whether the link passes nothing.
    pub cut: bool,
    /// The share of datagrams that are lost.
    pub loss: f64,
    /// The share of datagrams that are delivered twice.
    pub duplicate: f64,
    /// The share of datagrams, and of pieces of a connection, in which a byte is changed.
    pub corrupt: f64,
    /// The share of datagrams that are truncated, and of pieces of a connection in whose middle the connection breaks.
    pub truncate: f64,
    /// The maximum of the random delays. One datagram of twenty is delayed for up to five times as long.
    pub delay: Duration,
}

/// Counts of what was sent, and of the faults that were injected.
#[derive(Clone, Debug, Default)]
pub struct TrafficCounts {
    /// By process: the datagrams that it sent, including those that were lost.
    pub sent: Vec<u64>,
    /// Datagrams that were lost.
    pub lost: u64,
    /// Datagrams that were delivered twice.
    pub duplicated: u64,
    /// Datagrams and pieces with a changed byte.
    pub corrupted: u64,
    /// Datagrams and pieces that were truncated.
    pub truncated: u64,
    /// Datagrams and pieces that were delayed.
    pub delayed: u64,
}

/// A datagram between two processes, which are named by their numbers.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Datagram {
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

/// The state that tests and the event loop share.
struct SharedState {
    /// The faults of all links, by sender, then by receiver.
    link_faults: Vec<Vec<LinkFaults>>,
    traffic: TrafficCounts,
    /// The datagrams that were sent since [`FaultyNetwork::record_datagrams`]; `None` if it was not called.
    recorded: Option<Vec<Datagram>>,
    /// The datagrams that the event loop has to send once more.
    replayed: Vec<Datagram>,
}

/// The network between the processes of a test, with faults by sender and receiver. Dropping it stops its event loop.
pub struct FaultyNetwork {
    /// The addresses at which the others reach each process.
    pub public_addresses: Vec<SocketAddr>,
    /// The addresses at which each process itself listens.
    pub process_addresses: Vec<SocketAddr>,
    shared: Arc<Mutex<SharedState>>,
    stopped: Arc<AtomicBool>,
}

impl FaultyNetwork {
    /// Creates a network without faults between `count` processes. `seed` is the seed of the random draws by which
    /// faults happen later.
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

    /// Modifies the current faults of all links, by sender and receiver.
    pub fn change_faults(&self, change: impl Fn(usize, usize, &mut LinkFaults)) {
        let mut shared = self.shared.lock().unwrap();
        for (from, row) in shared.link_faults.iter_mut().enumerate() {
            row.iter_mut()
                .enumerate()
                .for_each(|(to, faults)| change(from, to, faults));
        }
    }

    /// Partitions the network: nothing passes between processes with a different `part`. Other faults stay.
    pub fn partition(&self, part: impl Fn(usize) -> usize) {
        self.change_faults(|from, to, link_faults| link_faults.cut = part(from) != part(to));
    }

    /// Records all datagrams that are sent from now on.
    pub fn record_datagrams(&self) {
        self.shared.lock().unwrap().recorded = Some(Vec::new());
    }

    /// Sends all recorded datagrams once more, modified by `change`, from the same sender to the same receiver. Returns
    /// their number.
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

    /// Removes all faults.
    pub fn heal(&self) {
        self.set_faults(|_, _| LinkFaults::default());
    }

    /// Returns the counts so far.
    pub fn traffic(&self) -> TrafficCounts {
        self.shared.lock().unwrap().traffic.clone()
    }
}

impl Drop for FaultyNetwork {
    fn drop(&mut self) {
        self.stopped.store(true, SeqCst);
    }
}

/// Returns an address of 127.0.0.0/8 that this test process has not used before. The second byte comes from the process
/// id, so that test processes that run at the same time hardly ever share an address.
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

/// Returns a UDP socket and a TCP listener with the same port.
fn bind_public_address() -> (UdpSocket, TcpListener) {
    loop {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        // A TCP connection may already occupy the port of the new UDP socket.
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
