//! The event loop of the network: receives datagrams and connections at the public addresses, applies the faults of
//! their links, and forwards them to the processes.

use super::connection::ProxiedConnection;
use super::{Datagram, SharedState};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::io::ErrorKind;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long the loop waits for input while bytes of connections are in transit.
const BUSY_WAIT: Duration = Duration::from_millis(1);
/// The longest time that the loop waits for input.
const MAX_WAIT: Duration = Duration::from_millis(20);
/// The maximum number of bytes of a datagram; longer ones are truncated.
const MAX_DATAGRAM_BYTES: usize = 2048;
/// The maximum number of datagrams that are read from one socket in one turn of the loop.
const MAX_DATAGRAMS_AT_ONCE: usize = 256;
/// The time limit for a connection to the process behind a public address.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// The share of delayed datagrams whose maximum delay is multiplied by [`LONG_DELAY_FACTOR`].
const LONG_DELAY_SHARE: f64 = 0.05;
/// The factor of the maximum delay of the datagrams that are delayed for long.
const LONG_DELAY_FACTOR: f64 = 5.0;

/// A delayed datagram. The order is by the time at which it is due.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct DelayedDatagram {
    due: Instant,
    /// Orders datagrams that are due at the same time.
    sequence: u64,
    datagram: Datagram,
}

/// The sockets, the listeners and the connections of a network, which one thread serves.
pub(super) struct NetworkLoop {
    /// By process: the UDP socket at its public address.
    sockets: Vec<UdpSocket>,
    /// By process: the TCP listener at its public address.
    listeners: Vec<TcpListener>,
    /// The numbers of the processes by the IP addresses from which they send.
    by_address: HashMap<IpAddr, usize>,
    process_addresses: Vec<SocketAddr>,
    shared: Arc<Mutex<SharedState>>,
    rng: ChaCha8Rng,
    connections: Vec<ProxiedConnection>,
    delayed: BinaryHeap<Reverse<DelayedDatagram>>,
    sequence: u64,
}

impl NetworkLoop {
    pub(super) fn new(
        public: Vec<(UdpSocket, TcpListener)>,
        process_addresses: Vec<SocketAddr>,
        shared: Arc<Mutex<SharedState>>,
        seed: u64,
    ) -> Self {
        let (sockets, listeners) = public.into_iter().unzip();
        let by_address = process_addresses
            .iter()
            .enumerate()
            .map(|(number, address)| (address.ip(), number))
            .collect();
        NetworkLoop {
            sockets,
            listeners,
            by_address,
            process_addresses,
            shared,
            rng: ChaCha8Rng::seed_from_u64(seed),
            connections: Vec::new(),
            delayed: BinaryHeap::new(),
            sequence: 0,
        }
    }

    /// Serves the network until `stopped` is set.
    pub(super) fn run(mut self, stopped: &AtomicBool) {
        while !stopped.load(SeqCst) {
            self.send_due();
            self.send_replayed();
            let processes = self.sockets.len();
            for index in self.wait_for_input() {
                if index < processes {
                    self.receive_datagrams(index);
                } else if index < 2 * processes {
                    self.accept(index - processes);
                }
            }
            self.pass_connections();
        }
    }

    fn send(&self, datagram: &Datagram) {
        let address = self.process_addresses[datagram.to];
        _ = self.sockets[datagram.from].send_to(&datagram.bytes, address);
    }

    /// Sends the delayed datagrams that are due.
    fn send_due(&mut self) {
        while let Some(Reverse(next)) = self.delayed.peek() {
            if next.due > Instant::now() {
                return;
            }
            if let Some(Reverse(delayed)) = self.delayed.pop() {
                self.send(&delayed.datagram);
            }
        }
    }

    /// Sends the datagrams that a test replays, without faults.
    fn send_replayed(&mut self) {
        let replayed = std::mem::take(&mut self.shared.lock().unwrap().replayed);
        for datagram in &replayed {
            self.send(datagram);
        }
    }

    /// Returns how long the loop may wait for input.
    fn wait_time(&self) -> Duration {
        let in_transit = ProxiedConnection::has_bytes_in_transit;
        if self.connections.iter().any(in_transit) {
            return BUSY_WAIT;
        }
        match self.delayed.peek() {
            Some(Reverse(next)) => {
                let until_due = next.due.saturating_duration_since(Instant::now());
                until_due.min(MAX_WAIT)
            }
            None => MAX_WAIT,
        }
    }

    /// Waits for input and returns the indices of what is readable. The indices count the sockets first, then the
    /// listeners, then the ends of connections.
    fn wait_for_input(&self) -> Vec<usize> {
        let sockets = self
            .sockets
            .iter()
            .map(|socket| PollFd::new(socket, PollFlags::IN));
        let listeners = self
            .listeners
            .iter()
            .map(|listener| PollFd::new(listener, PollFlags::IN));
        let ends = self
            .connections
            .iter()
            .flat_map(ProxiedConnection::readable_ends)
            .map(|end| PollFd::new(end, PollFlags::IN));
        let mut polled: Vec<PollFd> = sockets.chain(listeners).chain(ends).collect();
        let timeout = Timespec {
            tv_sec: 0,
            tv_nsec: self.wait_time().as_nanos() as i64,
        };
        _ = poll(&mut polled, Some(&timeout));
        polled
            .iter()
            .enumerate()
            .filter(|(_, descriptor)| !descriptor.revents().is_empty())
            .map(|(index, _)| index)
            .collect()
    }

    /// Accepts connections to one process, and opens a connection to that process for each of them.
    fn accept(&mut self, to: usize) {
        while let Ok((client, from)) = self.listeners[to].accept() {
            let Some(&from) = self.by_address.get(&from.ip()) else {
                continue;
            };
            // If the process does not run, the accepted connection is dropped, and so closed.
            let address = &self.process_addresses[to];
            if let Ok(process) = TcpStream::connect_timeout(address, CONNECT_TIMEOUT) {
                let connection = ProxiedConnection::new([client, process], [from, to]);
                self.connections.push(connection);
            }
        }
    }

    fn pass_connections(&mut self) {
        let mut shared = self.shared.lock().unwrap();
        let SharedState {
            link_faults,
            traffic,
            ..
        } = &mut *shared;
        for connection in &mut self.connections {
            connection.pass(link_faults, &mut self.rng, traffic);
        }
        self.connections.retain(|connection| !connection.is_over());
    }

    /// Receives and forwards the datagrams that were sent to one process.
    fn receive_datagrams(&mut self, to: usize) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        for _ in 0..MAX_DATAGRAMS_AT_ONCE {
            let (length, address) = match self.sockets[to].recv_from(&mut buffer) {
                Ok(received) => received,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                // The system reports here that an earlier datagram from this socket reached no process.
                Err(_) => continue,
            };
            if let Some(&from) = self.by_address.get(&address.ip()) {
                let bytes = buffer[..length].to_vec();
                self.forward(Datagram { from, to, bytes });
            }
        }
    }

    /// Applies the faults of its link to a datagram and forwards it.
    fn forward(&mut self, mut datagram: Datagram) {
        let mut shared = self.shared.lock().unwrap();
        let link_faults = shared.link_faults[datagram.from][datagram.to];
        shared.traffic.sent[datagram.from] += 1;
        if let Some(recorded) = &mut shared.recorded {
            recorded.push(datagram.clone());
        }
        let rng = &mut self.rng;
        let traffic = &mut shared.traffic;
        if link_faults.cut || happens(rng, link_faults.loss) {
            traffic.lost += 1;
            return;
        }
        let copies = if happens(rng, link_faults.duplicate) {
            2
        } else {
            1
        };
        traffic.duplicated += copies - 1;
        let length = datagram.bytes.len();
        if happens(rng, link_faults.corrupt) && length > 0 {
            let index = rng.random_range(0..length);
            datagram.bytes[index] ^= rng.random_range(1..=255u8);
            traffic.corrupted += 1;
        } else if happens(rng, link_faults.truncate) && length > 0 {
            datagram.bytes.truncate(rng.random_range(0..length));
            traffic.truncated += 1;
        }
        traffic.delayed += u64::from(!link_faults.delay.is_zero());
        drop(shared);
        for _ in 0..copies {
            self.send_after(datagram.clone(), link_faults.delay);
        }
    }

    /// Sends a datagram after a random delay, or at once if `max_delay` is zero.
    fn send_after(&mut self, datagram: Datagram, max_delay: Duration) {
        self.sequence += 1;
        if max_delay.is_zero() {
            self.send(&datagram);
            return;
        }
        let factor = if self.rng.random_bool(LONG_DELAY_SHARE) {
            LONG_DELAY_FACTOR
        } else {
            1.0
        };
        let delay = max_delay.mul_f64(self.rng.random::<f64>() * factor);
        self.delayed.push(Reverse(DelayedDatagram {
            due: Instant::now() + delay,
            sequence: self.sequence,
            datagram,
        }));
    }
}

/// Returns true with the probability `share`. Draws no random number if the share is 0.
fn happens(rng: &mut ChaCha8Rng, share: f64) -> bool {
    share > 0.0 && rng.random::<f64>() < share
}
