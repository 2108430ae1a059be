//! The clients of a soak: most behave, some don't. Each notes what it lived through.

use super::site::Seats;
use super::Size;
use crate::acting::{small, Referee, EXPIRY, OFFERINGS};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// How a client behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// Asks, waits for its answer, and sends lines on its open connection for a while.
    Plain,
    /// The same, a byte at a time.
    Slow,
    /// Asks, and goes before it has its answer.
    Leaves,
    /// Sends half a line, and stays.
    Half,
    /// Rests until about the moment in which it is ended for that, and asks then.
    Rests,
    /// Sends several lines at once.
    Pipelines,
}

/// How what it waited for came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Heard {
    Line(String),
    End,
    Reset,
    /// Nothing, for as long as it waited.
    Nothing,
}

#[derive(Clone, Debug)]
pub struct Lived {
    pub name: String,
    pub seat: usize,
    pub class: usize,
    pub manner: Manner,
    pub asked: Instant,
    pub heard: Heard,
    pub heard_at: Instant,
    /// When it closed, where it went before it had an answer.
    pub left: Option<Instant>,
    /// How its open connection ended.
    pub ended: Option<Heard>,
    pub ended_at: Option<Instant>,
    /// A line came behind a final answer.
    pub second: Option<String>,
}

/// Clients that come at a steady rate until they are told to end.
pub struct Load {
    over: Arc<AtomicBool>,
    dealer: Option<JoinHandle<()>>,
    lived: Arc<Mutex<Vec<Lived>>>,
}

impl Load {
    pub fn start(seed: u64, size: &Size, seats: Seats, _referee: &Referee) -> Load {
        let (over, lived) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::default()));
        let (their_over, their_lived) = (over.clone(), lived.clone());
        let step = Duration::from_secs_f64(1.0 / size.rate);
        let dealer = thread::spawn(move || {
            let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5eed);
            let (mut next, mut number, mut running) = (Instant::now(), 0u64, Vec::new());
            while !their_over.load(SeqCst) {
                thread::sleep(next.saturating_duration_since(Instant::now()));
                next += step;
                number += 1;
                let Some((seat, address)) = deal(&seats, &mut rng) else {
                    continue;
                };
                let client = Client::draw(&mut rng, format!("{seed:x}-{number}"), seat, address);
                let lived: Arc<Mutex<Vec<Lived>>> = their_lived.clone();
                running.push(small(move || {
                    if let Some(one) = client.live() {
                        lived.lock().unwrap().push(one);
                    }
                }));
            }
            running
                .into_iter()
                .for_each(|one| one.join().expect("a client panicked"));
        });
        Load {
            over,
            dealer: Some(dealer),
            lived,
        }
    }

    /// No more come; those that are there live out their time.
    pub fn end(&mut self) {
        self.over.store(true, SeqCst);
        if let Some(dealer) = self.dealer.take() {
            dealer.join().expect("the dealer panicked");
        }
    }

    pub fn lived(&self) -> Vec<Lived> {
        self.lived.lock().unwrap().clone()
    }
}

/// A process that the front deals clients to.
fn deal(seats: &Seats, rng: &mut ChaCha8Rng) -> Option<(usize, SocketAddr)> {
    let seat = rng.random_range(0..seats.len());
    let noted = seats[seat].lock().unwrap();
    if noted.closed.is_some_and(|t| t <= Instant::now()) {
        return None;
    }
    Some((seat, noted.address?))
}

struct Client {
    name: String,
    seat: usize,
    address: SocketAddr,
    class: usize,
    manner: Manner,
    key: u64,
    /// How long it stays, rests, or waits before it goes.
    span: Duration,
}

impl Client {
    fn draw(rng: &mut ChaCha8Rng, name: String, seat: usize, address: SocketAddr) -> Client {
        let (manner, span) = match rng.random_range(0..20) {
            0 | 1 => (Manner::Leaves, rng.random_range(0..400)),
            2 => (Manner::Half, 0),
            3 => (Manner::Rests, rng.random_range(1900..2150)),
            4 => (Manner::Pipelines, 0),
            5 => (Manner::Slow, rng.random_range(50..600)),
            _ => (Manner::Plain, rng.random_range(50..1500)),
        };
        let (class, key, span) = (
            rng.random_range(0..3),
            rng.random(),
            Duration::from_millis(span),
        );
        Client {
            name,
            seat,
            address,
            class,
            manner,
            key,
            span,
        }
    }

    fn live(self) -> Option<Lived> {
        let mut stream = TcpStream::connect(self.address).ok()?;
        _ = stream.set_nodelay(true);
        let wait = EXPIRY.as_millis();
        let line = format!(
            "OPEN {} {:x} c={},t=acme,d={wait}\r\n",
            self.name, self.key, OFFERINGS[self.class]
        );
        match self.manner {
            Manner::Half => stream.write_all(&line.as_bytes()[..line.len() / 2]).ok()?,
            Manner::Pipelines => stream.write_all(line.repeat(3).as_bytes()).ok()?,
            Manner::Slow => {
                for byte in line.bytes() {
                    stream.write_all(&[byte]).ok()?;
                    thread::sleep(Duration::from_millis(2));
                }
            }
            Manner::Rests => {
                thread::sleep(self.span);
                stream.write_all(line.as_bytes()).ok()?;
            }
            Manner::Plain | Manner::Leaves => stream.write_all(line.as_bytes()).ok()?,
        }
        let asked = Instant::now();
        let mut lived = Lived {
            name: self.name.clone(),
            seat: self.seat,
            class: self.class,
            manner: self.manner,
            asked,
            heard: Heard::Nothing,
            heard_at: asked,
            left: None,
            ended: None,
            ended_at: None,
            second: None,
        };
        if self.manner == Manner::Leaves {
            thread::sleep(self.span);
            drop(stream);
            lived.left = Some(Instant::now());
            return Some(lived);
        }
        // Longer than any answer may take, and than a process stands still.
        _ = stream.set_read_timeout(Some(Duration::from_secs(7)));
        let mut reader = BufReader::with_capacity(512, stream.try_clone().ok()?);
        lived.heard = hear(&mut reader);
        lived.heard_at = Instant::now();
        match &lived.heard {
            Heard::Line(said) if said.starts_with("UP") => {
                let ended = self.stay(&mut stream, &mut reader);
                (lived.ended, lived.ended_at) = (ended, Some(Instant::now()));
            }
            Heard::Line(_) => {
                if let Heard::Line(more) = hear(&mut reader) {
                    lived.second = Some(more);
                }
            }
            _ => {}
        }
        Some(lived)
    }

    /// Sends lines on its open connection; gives how that ended, where the client did not end it.
    fn stay(&self, stream: &mut TcpStream, reader: &mut BufReader<TcpStream>) -> Option<Heard> {
        let until = Instant::now() + self.span;
        while Instant::now() < until {
            let sent = stream.write_all(b"hello\r\n").is_ok();
            match hear(reader) {
                Heard::Line(said) if said == "hello" => {}
                other => return Some(other).filter(|_| sent),
            }
            thread::sleep(Duration::from_millis(60));
        }
        None
    }
}

fn hear(reader: &mut BufReader<TcpStream>) -> Heard {
    let mut line = String::new();
    match reader.read_line(&mut line) {
        Ok(0) => Heard::End,
        Ok(_) => Heard::Line(line.trim_end().to_string()),
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => Heard::Nothing,
        Err(_) => Heard::Reset,
    }
}
