//! A network between processes: each process has a public address that the others use, one UDP socket and one TCP
//! listener of the event loop here, and what arrives there is forwarded to the process behind it, datagrams from the
//! sender's own public address. Owns what is lost, delayed, duplicated, corrupted or truncated from whom to whom, and
//! never looks into what passes.

use crate::simulated::spawn_thread;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const PORT: u16 = 7400;
const LONGEST: usize = 2048;

/// What happens to a datagram on one way; shares of all that pass.
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
    /// Held up for a time up to this, one of twenty for five times as long.
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
    pub doubled: u64,
    /// Datagrams and pieces with a changed byte.
    pub garbled: u64,
    /// Datagrams and pieces that were cut short.
    pub shortened: u64,
    /// Datagrams and pieces that were delayed.
    pub held_up: u64,
}

struct SharedState {
    /// By sender, then by receiver.
    spoils: Vec<Vec<LinkFaults>>,
    passed: TrafficCounts,
    /// What was sent while it was taken down, to be sent again later.
    taken_down: Option<Vec<(usize, usize, Vec<u8>)>>,
    again: Vec<(usize, usize, Vec<u8>)>,
}

/// The network between the processes of a test, with faults by sender and receiver.
pub struct FaultyNetwork {
    /// Where others reach each process, and where it listens itself.
    pub public_addresses: Vec<SocketAddr>,
    /// Where each process listens itself.
    pub process_addresses: Vec<SocketAddr>,
    shared: Arc<Mutex<SharedState>>,
    over: Arc<AtomicBool>,
}

/// How long the loop waits while bytes of connections are on their way, and at the most.
const SOON: Timespec = Timespec {
    tv_sec: 0,
    tv_nsec: 1_000_000,
};

const IDLE_WAIT: Duration = Duration::from_millis(20);

/// What is held up: until when, in which order, whence, whither.
type Held = BinaryHeap<Reverse<(Instant, u64, usize, usize, Vec<u8>)>>;

impl FaultyNetwork {
    /// A network without faults between so many processes; `seed` draws the faults set later.
    pub fn new(count: usize, seed: u64) -> FaultyNetwork {
        static DEALT: AtomicU32 = AtomicU32::new(0);
        let (sockets, doors): (Vec<UdpSocket>, Vec<TcpListener>) =
            (0..count).map(|_| bind_public_address()).unzip();
        let public_addresses = sockets
            .iter()
            .map(|socket| socket.local_addr().unwrap())
            .collect();
        let process_addresses: Vec<SocketAddr> = (0..count)
            .map(|_| {
                let number = DEALT.fetch_add(1, SeqCst);
                let part = 16 + std::process::id() % 200;
                SocketAddr::from((
                    [
                        127,
                        part as u8,
                        (number / 250) as u8,
                        (number % 250 + 1) as u8,
                    ],
                    PORT,
                ))
            })
            .collect();
        let passed = TrafficCounts {
            sent: vec![0; count],
            ..TrafficCounts::default()
        };
        let spoils = vec![vec![LinkFaults::default(); count]; count];
        let shared = Arc::new(Mutex::new(SharedState {
            spoils,
            passed,
            taken_down: None,
            again: Vec::new(),
        }));
        let over = Arc::new(AtomicBool::new(false));
        let network_loop = NetworkLoop {
            by_address: process_addresses
                .iter()
                .enumerate()
                .map(|(n, at)| (at.ip(), n))
                .collect(),
            process_addresses: process_addresses.clone(),
            sockets,
            doors,
            connections: Vec::new(),
            shared: shared.clone(),
            held: Held::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        let ends = over.clone();
        spawn_thread(move || network_loop.run(&ends));
        FaultyNetwork {
            public_addresses,
            process_addresses,
            shared,
            over,
        }
    }

    /// Has ways made faulty as this says, for each sender and receiver.
    pub fn set(&self, link_faults: impl Fn(usize, usize) -> LinkFaults) {
        let mut shared = self.shared.lock().unwrap();
        for (from, row) in shared.spoils.iter_mut().enumerate() {
            row.iter_mut()
                .enumerate()
                .for_each(|(to, one)| *one = link_faults(from, to));
        }
    }

    /// Changes what is there already.
    pub fn change(&self, change: impl Fn(usize, usize, &mut LinkFaults)) {
        let mut shared = self.shared.lock().unwrap();
        for (from, row) in shared.spoils.iter_mut().enumerate() {
            row.iter_mut()
                .enumerate()
                .for_each(|(to, one)| change(from, to, one));
        }
    }

    /// Parts that do not hear each other.
    pub fn split(&self, part: impl Fn(usize) -> usize) {
        self.change(|from, to, link_faults| link_faults.cut = part(from) != part(to));
    }

    /// Takes down what is sent from here on.
    pub fn take_down(&self) {
        self.shared.lock().unwrap().taken_down = Some(Vec::new());
    }

    /// Sends all that was taken down once more, changed as told, from whom it came to whom it went; gives how many.
    pub fn replay(&self, change: impl Fn(&mut Vec<u8>)) -> usize {
        let mut shared = self.shared.lock().unwrap();
        let mut again = shared.taken_down.take().unwrap_or_default();
        again.iter_mut().for_each(|(.., bytes)| change(bytes));
        let count = again.len();
        shared.taken_down = Some(again.clone());
        shared.again.extend(again);
        count
    }

    /// Takes all faults away.
    pub fn heal(&self) {
        self.set(|_, _| LinkFaults::default());
    }

    /// What has passed so far.
    pub fn passed(&self) -> TrafficCounts {
        self.shared.lock().unwrap().passed.clone()
    }
}

impl Drop for FaultyNetwork {
    fn drop(&mut self) {
        self.over.store(true, SeqCst);
    }
}

/// One port for both.
fn bind_public_address() -> (UdpSocket, TcpListener) {
    loop {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        // Another connection may have that port.
        let Ok(door) = TcpListener::bind(socket.local_addr().unwrap()) else {
            continue;
        };
        socket.set_nonblocking(true).unwrap();
        door.set_nonblocking(true).unwrap();
        return (socket, door);
    }
}

/// Bytes of a connection that are held here, one way.
const MOST_HELD: usize = 64 << 10;

/// A connection that passes: both ends, whose they are, and what is under way from each.
struct ProxiedConnection {
    ends: [TcpStream; 2],
    nodes: [usize; 2],
    held: [VecDeque<(Instant, Vec<u8>)>; 2],
    /// The end there has nothing more to say; and that was told to the other.
    over: [bool; 2],
    told: [bool; 2],
    broken: bool,
}

impl ProxiedConnection {
    fn bytes(&self, end: usize) -> usize {
        self.held[end].iter().map(|(_, bytes)| bytes.len()).sum()
    }

    /// Takes what an end has to say, as the way spoils it.
    fn take(
        &mut self,
        end: usize,
        link_faults: LinkFaults,
        rng: &mut ChaCha8Rng,
        passed: &mut TrafficCounts,
    ) {
        let mut space = [0; 16 << 10];
        if link_faults.cut || self.over[end] || self.bytes(end) >= MOST_HELD {
            return;
        }
        let mut bytes = match self.ends[end].read(&mut space) {
            Ok(0) => return self.over[end] = true,
            Ok(count) => space[..count].to_vec(),
            Err(e) if e.kind() == ErrorKind::WouldBlock => return,
            Err(_) => return self.broken = true,
        };
        let mut meets = |share: f64| share > 0.0 && rng.random::<f64>() < share;
        if meets(link_faults.corrupt) {
            let place = bytes.len() / 2;
            bytes[place] ^= 0x55;
            passed.garbled += 1;
        } else if meets(link_faults.truncate) {
            bytes.truncate(bytes.len() / 2);
            self.broken = true;
            passed.shortened += 1;
        }
        passed.held_up += u64::from(!link_faults.delay.is_zero());
        let wait = link_faults.delay.mul_f64(rng.random());
        let after = self.held[end].back().map_or(Instant::now(), |(at, _)| *at);
        self.held[end].push_back((after.max(Instant::now() + wait), bytes));
    }

    /// Gives the other end what is due.
    fn give(&mut self, end: usize) {
        let other = 1 - end;
        while let Some((at, bytes)) = self.held[end].front_mut() {
            if *at > Instant::now() {
                return;
            }
            match self.ends[other].write(bytes) {
                Ok(count) if count == bytes.len() => _ = self.held[end].pop_front(),
                Ok(count) => _ = bytes.drain(..count),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(_) => return self.broken = true,
            }
        }
        if self.over[end] && !std::mem::replace(&mut self.told[end], true) {
            _ = self.ends[other].shutdown(Shutdown::Write);
        }
    }
}

struct NetworkLoop {
    sockets: Vec<UdpSocket>,
    doors: Vec<TcpListener>,
    connections: Vec<ProxiedConnection>,
    by_address: HashMap<IpAddr, usize>,
    process_addresses: Vec<SocketAddr>,
    shared: Arc<Mutex<SharedState>>,
    held: Held,
    rng: ChaCha8Rng,
}

impl NetworkLoop {
    fn run(mut self, over: &AtomicBool) {
        let mut order = 0;
        while !over.load(SeqCst) {
            self.send_due();
            self.send_again();
            for place in self.wait_for_input() {
                match place {
                    to if to < self.sockets.len() => self.take(to, &mut order),
                    door if door < 2 * self.sockets.len() => {
                        self.accept(door - self.sockets.len());
                    }
                    _ => {}
                }
            }
            self.pass();
        }
    }

    /// Forwards the datagrams whose delay is over.
    fn send_due(&mut self) {
        while let Some(Reverse((at, ..))) = self.held.peek() {
            if *at > Instant::now() {
                break;
            }
            let Some(Reverse((_, _, from, to, bytes))) = self.held.pop() else {
                break;
            };
            _ = self.sockets[from].send_to(&bytes, self.process_addresses[to]);
        }
    }

    /// Sends the datagrams that a test replays.
    fn send_again(&mut self) {
        for (from, to, bytes) in std::mem::take(&mut self.shared.lock().unwrap().again) {
            _ = self.sockets[from].send_to(&bytes, self.process_addresses[to]);
        }
    }

    /// How long to wait for input at the most.
    fn max_wait(&self) -> Timespec {
        let in_transit = |line: &ProxiedConnection| line.bytes(0) + line.bytes(1) > 0;
        if self.connections.iter().any(in_transit) {
            return SOON;
        }
        let next = self
            .held
            .peek()
            .map(|Reverse(held)| held.0.saturating_duration_since(Instant::now()));
        let wait = next.unwrap_or(Duration::MAX).min(IDLE_WAIT);
        Timespec {
            tv_sec: 0,
            tv_nsec: wait.as_nanos() as i64,
        }
    }

    /// Waits, and gives the places that are readable: the sockets first, then the listeners, then connections.
    fn wait_for_input(&self) -> Vec<usize> {
        let sockets = self.sockets.iter().map(|s| PollFd::new(s, PollFlags::IN));
        let doors = self.doors.iter().map(|d| PollFd::new(d, PollFlags::IN));
        let ends = self.connections.iter().flat_map(|connection| {
            let readable =
                |end: &usize| !connection.over[*end] && connection.bytes(*end) < MOST_HELD;
            let ends = (0..connection.ends.len()).filter(readable);
            ends.map(|end| PollFd::new(&connection.ends[end], PollFlags::IN))
                .collect::<Vec<_>>()
        });
        let mut polled: Vec<PollFd> = sockets.chain(doors).chain(ends).collect();
        _ = poll(&mut polled, Some(&self.max_wait()));
        let places = polled.iter().enumerate();
        places
            .filter(|(_, fd)| !fd.revents().is_empty())
            .map(|(place, _)| place)
            .collect()
    }

    /// Takes in who wants to speak to one process, and calls that for it.
    fn accept(&mut self, to: usize) {
        while let Ok((client, from)) = self.doors[to].accept() {
            let Some(&from) = self.by_address.get(&from.ip()) else {
                continue;
            };
            // Who calls one that is not there hears so by the end of its connection.
            let Ok(host) =
                TcpStream::connect_timeout(&self.process_addresses[to], Duration::from_millis(100))
            else {
                continue;
            };
            let ends = [client, host];
            ends.iter().for_each(|end| {
                _ = end
                    .set_nonblocking(true)
                    .and_then(|()| end.set_nodelay(true));
            });
            let (held, over, told) = Default::default();
            self.connections.push(ProxiedConnection {
                ends,
                nodes: [from, to],
                held,
                over,
                told,
                broken: false,
            });
        }
    }

    /// Passes on what connections have to say.
    fn pass(&mut self) {
        let mut shared = self.shared.lock().unwrap();
        let SharedState { spoils, passed, .. } = &mut *shared;
        for connection in &mut self.connections {
            for end in 0..2 {
                connection.take(
                    end,
                    spoils[connection.nodes[end]][connection.nodes[1 - end]],
                    &mut self.rng,
                    passed,
                );
                connection.give(end);
            }
        }
        self.connections
            .retain(|connection| !connection.broken && connection.told != [true, true]);
    }

    /// Takes what has come for one process.
    fn take(&mut self, to: usize, order: &mut u64) {
        let mut space = [0; LONGEST];
        for _ in 0..256 {
            let (length, at) = match self.sockets[to].recv_from(&mut space) {
                Ok(datagram) => datagram,
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => return,
                // What a process that is away has the system say of an earlier one.
                Err(_) => continue,
            };
            let Some(&from) = self.by_address.get(&at.ip()) else {
                continue;
            };
            let mut bytes = space[..length].to_vec();
            let mut shared = self.shared.lock().unwrap();
            let link_faults = shared.spoils[from][to];
            shared.passed.sent[from] += 1;
            shared
                .taken_down
                .iter_mut()
                .for_each(|all| all.push((from, to, bytes.clone())));
            let mut meets = |share: f64| share > 0.0 && self.rng.random::<f64>() < share;
            if link_faults.cut || meets(link_faults.loss) {
                shared.passed.lost += 1;
                continue;
            }
            let copies = if meets(link_faults.duplicate) { 2 } else { 1 };
            shared.passed.doubled += copies - 1;
            if meets(link_faults.corrupt) && length > 0 {
                let place = self.rng.random_range(0..length);
                bytes[place] ^= self.rng.random_range(1..=255u8);
                shared.passed.garbled += 1;
            } else if meets(link_faults.truncate) && length > 0 {
                bytes.truncate(self.rng.random_range(0..length));
                shared.passed.shortened += 1;
            }
            shared.passed.held_up += u64::from(!link_faults.delay.is_zero());
            drop(shared);
            for _ in 0..copies {
                *order += 1;
                if link_faults.delay.is_zero() {
                    _ = self.sockets[from].send_to(&bytes, self.process_addresses[to]);
                    continue;
                }
                let long = if self.rng.random_bool(0.05) { 5.0 } else { 1.0 };
                let wait = link_faults.delay.mul_f64(self.rng.random::<f64>() * long);
                self.held.push(Reverse((
                    Instant::now() + wait,
                    *order,
                    from,
                    to,
                    bytes.clone(),
                )));
            }
        }
    }
}

#[cfg(test)]
#[path = "network_tests.rs"]
mod tests;
