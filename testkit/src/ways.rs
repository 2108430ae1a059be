//! The way of datagrams and connections between processes: each has a face that the others know, one socket of the one
//! loop here for datagrams and one that listens, and what comes there goes on to the process behind it, datagrams from the
//! sender's own face. It owns what is lost, held up,
//! doubled, garbled or cut short on the way from whom to whom. It must never look into what passes.

use crate::acting::small;
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
    /// What was sent while it was taken down, to be sent again later.
    taken_down: Option<Vec<(usize, usize, Vec<u8>)>>,
    again: Vec<(usize, usize, Vec<u8>)>,
}

pub struct Ways {
    /// Where others reach each process, and where it listens itself.
    pub faces: Vec<SocketAddr>,
    pub behind: Vec<SocketAddr>,
    kept: Arc<Mutex<Kept>>,
    over: Arc<AtomicBool>,
}

const SOON: Timespec = Timespec {
    tv_sec: 0,
    tv_nsec: 1_000_000,
};

/// What is held up: until when, in which order, whence, whither.
type Held = BinaryHeap<Reverse<(Instant, u64, usize, usize, Vec<u8>)>>;

impl Ways {
    pub fn new(count: usize, seed: u64) -> Ways {
        static DEALT: AtomicU32 = AtomicU32::new(0);
        let (sockets, doors): (Vec<UdpSocket>, Vec<TcpListener>) =
            (0..count).map(|_| face()).unzip();
        let faces = sockets
            .iter()
            .map(|socket| socket.local_addr().unwrap())
            .collect();
        let behind: Vec<SocketAddr> = (0..count)
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
        let passed = Passed {
            sent: vec![0; count],
            ..Passed::default()
        };
        let spoils = vec![vec![Spoil::default(); count]; count];
        let kept = Arc::new(Mutex::new(Kept {
            spoils,
            passed,
            taken_down: None,
            again: Vec::new(),
        }));
        let over = Arc::new(AtomicBool::new(false));
        let way = Way {
            by_address: behind
                .iter()
                .enumerate()
                .map(|(n, at)| (at.ip(), n))
                .collect(),
            behind: behind.clone(),
            sockets,
            doors,
            lines: Vec::new(),
            kept: kept.clone(),
            held: Held::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        let ends = over.clone();
        small(move || way.run(&ends));
        Ways {
            faces,
            behind,
            kept,
            over,
        }
    }

    /// Has ways spoilt as this says, for each sender and receiver.
    pub fn set(&self, spoil: impl Fn(usize, usize) -> Spoil) {
        let mut kept = self.kept.lock().unwrap();
        for (from, row) in kept.spoils.iter_mut().enumerate() {
            row.iter_mut()
                .enumerate()
                .for_each(|(to, one)| *one = spoil(from, to));
        }
    }

    /// Changes what is there already.
    pub fn change(&self, change: impl Fn(usize, usize, &mut Spoil)) {
        let mut kept = self.kept.lock().unwrap();
        for (from, row) in kept.spoils.iter_mut().enumerate() {
            row.iter_mut()
                .enumerate()
                .for_each(|(to, one)| change(from, to, one));
        }
    }

    /// Parts that do not hear each other.
    pub fn split(&self, part: impl Fn(usize) -> usize) {
        self.change(|from, to, spoil| spoil.cut = part(from) != part(to));
    }

    /// Takes down what is sent from here on.
    pub fn take_down(&self) {
        self.kept.lock().unwrap().taken_down = Some(Vec::new());
    }

    /// Sends all that was taken down once more, changed as told, from whom it came to whom it went; gives how many.
    pub fn replay(&self, change: impl Fn(&mut Vec<u8>)) -> usize {
        let mut kept = self.kept.lock().unwrap();
        let mut again = kept.taken_down.take().unwrap_or_default();
        again.iter_mut().for_each(|(.., bytes)| change(bytes));
        let count = again.len();
        kept.taken_down = Some(again.clone());
        kept.again.extend(again);
        count
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

/// One port for both.
fn face() -> (UdpSocket, TcpListener) {
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
struct Line {
    ends: [TcpStream; 2],
    nodes: [usize; 2],
    held: [VecDeque<(Instant, Vec<u8>)>; 2],
    /// The end there has nothing more to say; and that was told to the other.
    over: [bool; 2],
    told: [bool; 2],
    broken: bool,
}

impl Line {
    fn bytes(&self, end: usize) -> usize {
        self.held[end].iter().map(|(_, bytes)| bytes.len()).sum()
    }

    /// Takes what an end has to say, as the way spoils it.
    fn take(&mut self, end: usize, spoil: Spoil, rng: &mut ChaCha8Rng, passed: &mut Passed) {
        let mut space = [0; 16 << 10];
        if spoil.cut || self.over[end] || self.bytes(end) >= MOST_HELD {
            return;
        }
        let mut bytes = match self.ends[end].read(&mut space) {
            Ok(0) => return self.over[end] = true,
            Ok(count) => space[..count].to_vec(),
            Err(e) if e.kind() == ErrorKind::WouldBlock => return,
            Err(_) => return self.broken = true,
        };
        let mut meets = |share: f64| share > 0.0 && rng.random::<f64>() < share;
        if meets(spoil.garble) {
            let place = bytes.len() / 2;
            bytes[place] ^= 0x55;
            passed.garbled += 1;
        } else if meets(spoil.short) {
            bytes.truncate(bytes.len() / 2);
            self.broken = true;
            passed.shortened += 1;
        }
        passed.held_up += u64::from(!spoil.delay.is_zero());
        let wait = spoil.delay.mul_f64(rng.random());
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

struct Way {
    sockets: Vec<UdpSocket>,
    doors: Vec<TcpListener>,
    lines: Vec<Line>,
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
                let Some(Reverse((_, _, from, to, bytes))) = self.held.pop() else {
                    break;
                };
                _ = self.sockets[from].send_to(&bytes, self.behind[to]);
            }
            for (from, to, bytes) in std::mem::take(&mut self.kept.lock().unwrap().again) {
                _ = self.sockets[from].send_to(&bytes, self.behind[to]);
            }
            let next = self
                .held
                .peek()
                .map(|Reverse(held)| held.0.saturating_duration_since(Instant::now()));
            let wait = next.unwrap_or(Duration::MAX).min(Duration::from_millis(20));
            let wait = Timespec {
                tv_sec: 0,
                tv_nsec: wait.as_nanos() as i64,
            };
            let wait = if self
                .lines
                .iter()
                .any(|line| line.bytes(0) + line.bytes(1) > 0)
            {
                SOON
            } else {
                wait
            };
            let sockets = self.sockets.iter().map(|s| PollFd::new(s, PollFlags::IN));
            let doors = self.doors.iter().map(|d| PollFd::new(d, PollFlags::IN));
            let open = self
                .lines
                .iter()
                .flat_map(|line| line.ends.iter().enumerate().map(move |(n, e)| (line, n, e)));
            let open = open.filter(|(line, n, _)| !line.over[*n] && line.bytes(*n) < MOST_HELD);
            let open = open.map(|(.., end)| PollFd::new(end, PollFlags::IN));
            let mut ready: Vec<PollFd> = sockets.chain(doors).chain(open).collect();
            _ = poll(&mut ready, Some(&wait));
            let count = self.sockets.len();
            let ready: Vec<usize> = ready
                .iter()
                .enumerate()
                .filter(|(_, fd)| !fd.revents().is_empty())
                .map(|(n, _)| n)
                .collect();
            for place in ready {
                match place {
                    to if to < count => self.take(to, &mut order),
                    door if door < 2 * count => self.accept(door - count),
                    _ => {}
                }
            }
            self.pass();
        }
    }

    /// Takes in who wants to speak to one process, and calls that for it.
    fn accept(&mut self, to: usize) {
        while let Ok((client, from)) = self.doors[to].accept() {
            let Some(&from) = self.by_address.get(&from.ip()) else {
                continue;
            };
            // Who calls one that is not there hears so by the end of its connection.
            let Ok(host) = TcpStream::connect_timeout(&self.behind[to], Duration::from_millis(100))
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
            self.lines.push(Line {
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
        let mut kept = self.kept.lock().unwrap();
        let Kept { spoils, passed, .. } = &mut *kept;
        for line in &mut self.lines {
            for end in 0..2 {
                line.take(
                    end,
                    spoils[line.nodes[end]][line.nodes[1 - end]],
                    &mut self.rng,
                    passed,
                );
                line.give(end);
            }
        }
        self.lines
            .retain(|line| !line.broken && line.told != [true, true]);
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
            let mut kept = self.kept.lock().unwrap();
            let spoil = kept.spoils[from][to];
            kept.passed.sent[from] += 1;
            kept.taken_down
                .iter_mut()
                .for_each(|all| all.push((from, to, bytes.clone())));
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
mod tests {
    use super::*;

    /// Guards: a fault that is told and does not happen, or happens on the way back too.
    #[test]
    fn each_fault_happens_on_the_wire_and_one_way_alone() {
        let ways = Ways::new(2, 1);
        let ends: Vec<UdpSocket> = ways
            .behind
            .iter()
            .map(|at| UdpSocket::bind(at).unwrap())
            .collect();
        ends.iter().for_each(|end| {
            end.set_read_timeout(Some(Duration::from_millis(200)))
                .unwrap();
        });
        let hears = |end: usize| {
            let mut space = [0; 64];
            let came = ends[end].recv_from(&mut space);
            came.ok()
                .map(|(length, from)| (space[..length].to_vec(), from))
        };
        let passes = |spoil: Spoil| {
            ways.set(|from, _| if from == 0 { spoil } else { Spoil::default() });
            ends[0].send_to(b"well met", ways.faces[1]).unwrap();
            let there = hears(1);
            ends[1].send_to(b"and you", ways.faces[0]).unwrap();
            assert_eq!(
                hears(0),
                Some((b"and you".to_vec(), ways.faces[1])),
                "the way back is spoilt"
            );
            there
        };
        let well = Spoil::default();
        assert_eq!(passes(well), Some((b"well met".to_vec(), ways.faces[0])));
        assert_eq!(passes(Spoil { cut: true, ..well }), None);
        assert_eq!(passes(Spoil { loss: 1.0, ..well }), None);
        let garbled = passes(Spoil {
            garble: 1.0,
            ..well
        })
        .unwrap()
        .0;
        assert!(garbled.len() == 8 && garbled != b"well met");
        assert!(passes(Spoil { short: 1.0, ..well }).unwrap().0.len() < 8);
        let from = Instant::now();
        let late = (0..8)
            .map(|_| {
                passes(Spoil {
                    delay: Duration::from_millis(40),
                    ..well
                })
            })
            .filter(Option::is_some)
            .count();
        assert!(
            late == 8 && from.elapsed() >= Duration::from_millis(40),
            "nothing was held up"
        );
        passes(Spoil {
            double: 1.0,
            ..well
        })
        .unwrap();
        assert!(hears(1).is_some(), "not doubled");
        let passed = ways.passed();
        assert_eq!(
            (
                passed.lost,
                passed.doubled,
                passed.garbled,
                passed.shortened,
                passed.held_up
            ),
            (2, 1, 1, 1, 8)
        );
        assert_eq!(passed.sent, [14, 14]);
    }

    /// A connection from one process's address to the other's face.
    fn connect(ways: &Ways, from: usize, to: usize) -> TcpStream {
        use rustix::net::{bind, connect, socket, AddressFamily, SocketType};
        let end = socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
        bind(&end, &SocketAddr::new(ways.behind[from].ip(), 0)).unwrap();
        connect(&end, &ways.faces[to]).unwrap();
        let end = TcpStream::from(end);
        end.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        end
    }

    /// Guards: connections between processes that faults pass by, or that lose what they are to carry whole.
    #[test]
    fn connections_pass_whole_and_are_cut_held_up_garbled_and_cut_short() {
        let ways = Ways::new(2, 2);
        let door = TcpListener::bind(ways.behind[1]).unwrap();
        let both = || (connect(&ways, 0, 1), door.accept().unwrap().0);
        let (mut near, mut far) = both();
        let long: Vec<u8> = (0..300_000u32).map(|n| n as u8).collect();
        let sent = long.clone();
        let writes = std::thread::spawn(move || {
            near.write_all(&sent).unwrap();
            near.shutdown(Shutdown::Write).unwrap();
            let mut answer = String::new();
            near.read_to_string(&mut answer).unwrap();
            answer
        });
        let mut came = Vec::new();
        far.read_to_end(&mut came).unwrap();
        assert!(came == long, "{} of {} bytes", came.len(), long.len());
        far.write_all(b"thanks").unwrap();
        drop(far);
        assert_eq!(writes.join().unwrap(), "thanks");
        let spoilt =
            |spoil: Spoil| ways.set(|from, _| if from == 0 { spoil } else { Spoil::default() });
        let (mut near, mut far) = both();
        spoilt(Spoil {
            cut: true,
            ..Spoil::default()
        });
        near.write_all(b"one").unwrap();
        far.set_read_timeout(Some(Duration::from_millis(150)))
            .unwrap();
        let mut space = [0; 8];
        assert!(far.read(&mut space).is_err(), "a cut way carries");
        spoilt(Spoil {
            delay: Duration::from_millis(30),
            ..Spoil::default()
        });
        assert_eq!(far.read(&mut space).unwrap(), 3);
        spoilt(Spoil {
            garble: 1.0,
            ..Spoil::default()
        });
        near.write_all(b"two").unwrap();
        assert!(far.read(&mut space).unwrap() == 3 && &space[..3] != b"two");
        spoilt(Spoil {
            short: 1.0,
            ..Spoil::default()
        });
        near.write_all(b"three").unwrap();
        let mut rest = Vec::new();
        assert!(
            far.read_to_end(&mut rest).is_ok() && rest == b"th",
            "{rest:?}"
        );
        let passed = ways.passed();
        assert!(passed.held_up >= 1 && passed.garbled == 1 && passed.shortened == 1);
    }
}
