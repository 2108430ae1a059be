//! The way of datagrams between processes: each has a face that the others know, a socket of the one loop here, and
//! what comes there goes on to the process behind it, from the sender's own face. It owns what is lost, held up,
//! doubled, garbled or cut short on the way from whom to whom. It must never look into what passes.

use crate::acting::small;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const PORT: u16 = 7400;
const LONGEST: usize = 2048;

/// What happens to a datagram on one way; shares of all that pass.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Spoil {
    pub cut: bool,
    pub loss: f64,
    pub double: f64,
    pub garble: f64,
    pub short: f64,
    /// Held up for a time up to this, one of twenty for five times as long.
    pub delay: Duration,
}

/// What was seen on the wire.
#[derive(Clone, Debug, Default)]
pub struct Passed {
    /// Sent by each process, whatever became of it.
    pub sent: Vec<u64>,
    pub lost: u64,
    pub doubled: u64,
    pub garbled: u64,
    pub shortened: u64,
    pub held_up: u64,
}

struct Kept {
    /// By sender, then by receiver.
    spoils: Vec<Vec<Spoil>>,
    passed: Passed,
}

pub struct Ways {
    /// Where others reach each process, and where it listens itself.
    pub faces: Vec<SocketAddr>,
    pub behind: Vec<SocketAddr>,
    kept: Arc<Mutex<Kept>>,
    over: Arc<AtomicBool>,
}

/// What is held up: until when, in which order, whence, whither.
type Held = BinaryHeap<Reverse<(Instant, u64, usize, usize, Vec<u8>)>>;

impl Ways {
    pub fn new(count: usize, seed: u64) -> Ways {
        static DEALT: AtomicU32 = AtomicU32::new(0);
        let sockets: Vec<UdpSocket> = (0..count).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
        sockets.iter().for_each(|socket| socket.set_nonblocking(true).unwrap());
        let faces = sockets.iter().map(|socket| socket.local_addr().unwrap()).collect();
        let behind: Vec<SocketAddr> = (0..count)
            .map(|_| {
                let number = DEALT.fetch_add(1, SeqCst);
                let part = 16 + std::process::id() % 200;
                SocketAddr::from(([127, part as u8, (number / 250) as u8, (number % 250 + 1) as u8], PORT))
            })
            .collect();
        let passed = Passed { sent: vec![0; count], ..Passed::default() };
        let kept = Arc::new(Mutex::new(Kept { spoils: vec![vec![Spoil::default(); count]; count], passed }));
        let over = Arc::new(AtomicBool::new(false));
        let way = Way {
            by_address: behind.iter().enumerate().map(|(n, at)| (at.ip(), n)).collect(),
            behind: behind.clone(),
            sockets,
            kept: kept.clone(),
            held: Held::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        let ends = over.clone();
        small(move || way.run(&ends));
        Ways { faces, behind, kept, over }
    }

    /// Has ways spoilt as this says, for each sender and receiver.
    pub fn set(&self, spoil: impl Fn(usize, usize) -> Spoil) {
        let mut kept = self.kept.lock().unwrap();
        for (from, row) in kept.spoils.iter_mut().enumerate() {
            row.iter_mut().enumerate().for_each(|(to, one)| *one = spoil(from, to));
        }
    }

    /// Changes what is there already.
    pub fn change(&self, change: impl Fn(usize, usize, &mut Spoil)) {
        let mut kept = self.kept.lock().unwrap();
        for (from, row) in kept.spoils.iter_mut().enumerate() {
            row.iter_mut().enumerate().for_each(|(to, one)| change(from, to, one));
        }
    }

    /// Parts that do not hear each other.
    pub fn split(&self, part: impl Fn(usize) -> usize) {
        self.change(|from, to, spoil| spoil.cut = part(from) != part(to));
    }

    pub fn heal(&self) {
        self.set(|_, _| Spoil::default());
    }

    pub fn passed(&self) -> Passed {
        self.kept.lock().unwrap().passed.clone()
    }
}

impl Drop for Ways {
    fn drop(&mut self) {
        self.over.store(true, SeqCst);
    }
}

struct Way {
    sockets: Vec<UdpSocket>,
    by_address: HashMap<IpAddr, usize>,
    behind: Vec<SocketAddr>,
    kept: Arc<Mutex<Kept>>,
    held: Held,
    rng: ChaCha8Rng,
}

impl Way {
    fn run(mut self, over: &AtomicBool) {
        let mut order = 0;
        while !over.load(SeqCst) {
            while let Some(Reverse((at, ..))) = self.held.peek() {
                if *at > Instant::now() {
                    break;
                }
                let Some(Reverse((_, _, from, to, bytes))) = self.held.pop() else { break };
                _ = self.sockets[from].send_to(&bytes, self.behind[to]);
            }
            let next = self.held.peek().map(|Reverse(held)| held.0.saturating_duration_since(Instant::now()));
            let wait = next.unwrap_or(Duration::MAX).min(Duration::from_millis(20));
            let wait = Timespec { tv_sec: 0, tv_nsec: wait.as_nanos() as i64 };
            let mut ready: Vec<PollFd> = self.sockets.iter().map(|s| PollFd::new(s, PollFlags::IN)).collect();
            _ = poll(&mut ready, Some(&wait));
            let ready: Vec<usize> =
                ready.iter().enumerate().filter(|(_, fd)| !fd.revents().is_empty()).map(|(n, _)| n).collect();
            for to in ready {
                self.take(to, &mut order);
            }
        }
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
            let Some(&from) = self.by_address.get(&at.ip()) else { continue };
            let mut bytes = space[..length].to_vec();
            let mut kept = self.kept.lock().unwrap();
            let spoil = kept.spoils[from][to];
            kept.passed.sent[from] += 1;
            let mut meets = |share: f64| share > 0.0 && self.rng.random::<f64>() < share;
            if spoil.cut || meets(spoil.loss) {
                kept.passed.lost += 1;
                continue;
            }
            let copies = if meets(spoil.double) { 2 } else { 1 };
            kept.passed.doubled += copies - 1;
            if meets(spoil.garble) && length > 0 {
                let place = self.rng.random_range(0..length);
                bytes[place] ^= self.rng.random_range(1..=255u8);
                kept.passed.garbled += 1;
            } else if meets(spoil.short) && length > 0 {
                bytes.truncate(self.rng.random_range(0..length));
                kept.passed.shortened += 1;
            }
            kept.passed.held_up += u64::from(!spoil.delay.is_zero());
            drop(kept);
            for _ in 0..copies {
                *order += 1;
                if spoil.delay.is_zero() {
                    _ = self.sockets[from].send_to(&bytes, self.behind[to]);
                    continue;
                }
                let long = if self.rng.random_bool(0.05) { 5.0 } else { 1.0 };
                let wait = spoil.delay.mul_f64(self.rng.random::<f64>() * long);
                self.held.push(Reverse((Instant::now() + wait, *order, from, to, bytes.clone())));
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards: a fault that is told and does not happen, or happens on the way back too.
    #[test]
    fn each_fault_happens_on_the_wire_and_one_way_alone() {
        let ways = Ways::new(2, 1);
        let ends: Vec<UdpSocket> = ways.behind.iter().map(|at| UdpSocket::bind(at).unwrap()).collect();
        ends.iter().for_each(|end| end.set_read_timeout(Some(Duration::from_millis(200))).unwrap());
        let hears = |end: usize| {
            let mut space = [0; 64];
            let came = ends[end].recv_from(&mut space);
            came.ok().map(|(length, from)| (space[..length].to_vec(), from))
        };
        let passes = |spoil: Spoil| {
            ways.set(|from, _| if from == 0 { spoil } else { Spoil::default() });
            ends[0].send_to(b"well met", ways.faces[1]).unwrap();
            let there = hears(1);
            ends[1].send_to(b"and you", ways.faces[0]).unwrap();
            assert_eq!(hears(0), Some((b"and you".to_vec(), ways.faces[1])), "the way back is spoilt");
            there
        };
        let well = Spoil::default();
        assert_eq!(passes(well), Some((b"well met".to_vec(), ways.faces[0])));
        assert_eq!(passes(Spoil { cut: true, ..well }), None);
        assert_eq!(passes(Spoil { loss: 1.0, ..well }), None);
        let garbled = passes(Spoil { garble: 1.0, ..well }).unwrap().0;
        assert!(garbled.len() == 8 && garbled != b"well met");
        assert!(passes(Spoil { short: 1.0, ..well }).unwrap().0.len() < 8);
        let from = Instant::now();
        let late = (0..8)
            .map(|_| passes(Spoil { delay: Duration::from_millis(40), ..well }))
            .filter(Option::is_some)
            .count();
        assert!(late == 8 && from.elapsed() >= Duration::from_millis(40), "nothing was held up");
        passes(Spoil { double: 1.0, ..well }).unwrap();
        assert!(hears(1).is_some(), "not doubled");
        let passed = ways.passed();
        assert_eq!(
            (passed.lost, passed.doubled, passed.garbled, passed.shortened, passed.held_up),
            (2, 1, 1, 1, 8)
        );
        assert_eq!(passed.sent, [14, 14]);
    }
}
